/** A set of placements that is grouped by host. */
import type { Placement } from './types.js';

/** Placements by host. All placements of a host can be skipped without visiting them. */
export class PlacementsByHost {
  private readonly byHost = new Map<string, Set<Placement>>();

  /** The hosts that have placements in this set, and these placements. They may be deleted during the iteration. */
  entries(): Iterable<[string, ReadonlySet<Placement>]> {
    return this.byHost.entries();
  }

  /** Adds a placement. */
  add(placement: Placement): void {
    const onHost = this.byHost.get(placement.host);
    if (onHost) onHost.add(placement);
    else this.byHost.set(placement.host, new Set([placement]));
  }

  /** Removes a placement, if it is in this set. */
  delete(placement: Placement): void {
    const onHost = this.byHost.get(placement.host);
    if (onHost?.delete(placement) && onHost.size === 0) this.byHost.delete(placement.host);
  }
}
