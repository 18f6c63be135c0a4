/** Distribution of a job's waiting tasks over zones, according to the job's zone constraints. */
import { maxTasksPerZone, type JobSpec } from '../../model/job.js';
import type { AutoscalerContext } from './context.js';
import { countHeadroom, type MachinePools } from './headroom.js';
import { isEligible, type OfferAvailability } from './offers.js';

/** A number of tasks of a job that share the same set of allowed zones. */
export interface ZoneGroup {
  readonly count: number;
  /** The allowed zones; null: any zone. */
  readonly zones: string[] | null;
}

/** Capacity of a zone for one job. */
interface ZoneCapacity {
  readonly zone: string;
  /** Number of tasks that fit on existing and expected machines. */
  readonly headroom: number;
  /** Whether an eligible offer is available in the zone. */
  readonly hasOffers: boolean;
}

const preferAvailable = (a: ZoneCapacity, b: ZoneCapacity): number =>
  Number(b.hasOffers) - Number(a.hasOffers);

/** Distributes `count` waiting tasks of a job over zones. */
export function splitByZone(
  context: AutoscalerContext,
  availability: OfferAvailability,
  { id, spec }: { id: string; spec: JobSpec },
  count: number,
  pools: MachinePools,
): ZoneGroup[] {
  if (spec.zone !== null || (!spec.oneZone && !spec.apart)) return [{ count, zones: null }];
  const placed = placedPerZone(context, id);
  const capacities = (): ZoneCapacity[] =>
    context.settings.zones.map((zone) => zoneCapacity(context, availability, spec, zone, count, pools));
  return spec.oneZone
    ? [{ count, zones: [placed.keys().next().value ?? bestSingleZone(capacities(), count)] }]
    : splitApart(capacities(), placed, spec, count);
}

/** Number of placed tasks of a job by zone; zones are in the order of the first placement in each. */
function placedPerZone({ replica }: AutoscalerContext, id: string): Map<string, number> {
  const placed = new Map<string, number>();
  for (const chunk of replica.chunks.get(id)?.values() ?? [])
    for (const { host } of chunk.placements) {
      const zone = replica.machines.get(host)?.zone;
      if (zone !== undefined) placed.set(zone, (placed.get(zone) ?? 0) + 1);
    }
  return placed;
}

function zoneCapacity(
  { replica }: AutoscalerContext,
  availability: OfferAvailability,
  spec: JobSpec,
  zone: string,
  maxTasks: number,
  pools: MachinePools,
): ZoneCapacity {
  const types = replica.machineTypes;
  let headroom = 0;
  for (const pool of pools.values())
    if (pool.zone === zone && isEligible(spec, pool))
      headroom += countHeadroom(pool, spec, maxTasks - headroom, types);
  const hasOffers = types.some(
    (type) =>
      type.zones.includes(zone) &&
      [false, true].some((spot) => {
        const offer = { type, zone, spot };
        return isEligible(spec, offer) && availability.isAvailable(offer);
      }),
  );
  return { zone, headroom, hasOffers };
}

/** Prefers a zone with headroom for all tasks, then one with available offers, then the one with the most headroom. */
function bestSingleZone(capacities: ZoneCapacity[], count: number): string {
  capacities.sort(
    (a, b) =>
      Number(b.headroom >= count) - Number(a.headroom >= count) ||
      preferAvailable(a, b) ||
      b.headroom - a.headroom,
  );
  return capacities[0].zone;
}

/** Puts half of the tasks into each of two zones, as far as headroom, offers and the maximum number of tasks per zone allow. */
function splitApart(
  capacities: ZoneCapacity[],
  placed: ReadonlyMap<string, number>,
  spec: JobSpec,
  count: number,
): ZoneGroup[] {
  const groups: ZoneGroup[] = [];
  capacities.sort((a, b) => b.headroom - a.headroom || preferAvailable(a, b));
  let left = count;
  for (const { zone, headroom, hasOffers } of capacities) {
    const allowed = Math.max(0, maxTasksPerZone(spec.tasks) - (placed.get(zone) ?? 0));
    // A zone without offers can take no more than fits on its machines.
    const target = hasOffers ? Math.max(Math.min(headroom, left), Math.ceil(count / 2)) : headroom;
    const size = Math.min(left, allowed, target);
    if (size > 0) groups.push({ count: size, zones: [zone] });
    left -= size;
  }
  return groups;
}
