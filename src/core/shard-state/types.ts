/** The forms of jobs, chunks of their tasks, placements and machines while they are scheduled. */
import type { JobSpec } from '../../model/job.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { TaskPhase } from '../../model/heartbeat.js';
import type { Bits, Rank } from '../storage/index.js';
import type { VersionedMachine } from '../replica.js';

/** A task's present attempt. It exists from the decision to place until it is proven gone. */
export interface Placement {
  job: JobRun;
  index: number;
  attempt: number;
  host: string;
  /** The zone of its machine, as far as that was known when it was entered. */
  zone: string | null;
  chunk: Chunk;
  /** The chunk's version that first holds it: durable once that version is. */
  version: number;
  /** Decided by this process, so nobody else can have sent its start. */
  own: boolean;
  /** The (session, seq) of the report whose answer carried the start. */
  sent: [number, number] | null;
  phase: TaskPhase | 'placed';
  /** When it was first seen to run, ms; 0: not yet. */
  ranAt: number;
  /** Gang: when it was first seen to wait for the others, ms; 0: not yet. */
  waitingAt: number;
  placedAt: number;
  /** Wanted off its machine, with this much time to save. */
  stop: { graceS: number; since: number } | null;
}

export interface Chunk {
  number: number;
  base: number;
  size: number;
  stamp: number;
  last: number;
  done: Bits;
  /** Version in memory, and the newest version known to be durable. */
  version: number;
  /** The version that holds the newest placement. */
  placed: number;
  durable: number;
  /** Its write that waits or is under way. */
  queued: { rank: Rank } | null;
  /** Not to be written before the view has reached this revision. */
  blockedUntil: number;
}

export interface JobRun {
  id: string;
  spec: JobSpec;
  shard: number;
  at: number;
  stamp: number;
  cancelled: boolean;
  chunks: Chunk[];
  /** How many tasks each chunk but the last has. */
  chunkTasks: number;
  active: Map<number, Placement>;
  /** Tasks that wait for a place: those never placed from `fresh` on, and those to be placed again. */
  fresh: number;
  retry: Set<number>;
  done: number;
  zones: Map<string, number>;
  /** Tasks on machines of which no record says in which zone they are. */
  astray: number;
  finishing: boolean;
  /** Something of it cannot be read (any more): what is placed stays counted, and nothing is done about it. */
  frozen: boolean;
  /** Gang: an attempt is being taken down; nothing starts until all of it is gone. */
  breaking: boolean;
  /** Gang: tasks that were lost before it started are placed anew with this attempt, which the others wait with. */
  mending: number | null;
  /** Machines on which its tasks failed. */
  errors: Set<string>;
  /** How often it was tried in vain since it is suspected of a mistake. */
  probes: number;
  /** It found no place where it has not failed yet: it may be tried on any machine. */
  anywhere: boolean;
  successes: number;
  notBefore: number;
  /** Since when all of it waits, if it does: time of day, ms. */
  waitsFrom: number;
  /** What it asks of machines beyond type and place; null: nothing. */
  match: MachineMatch | null;
}

export interface MachineRun {
  host: string;
  record: VersionedMachine;
  type: MachineType;
  zone: string;
  spot: boolean;
  used: Resources;
  placements: Map<string, Placement>;
  endpoint: string;
  session: number;
  seq: number;
  /** Last report under our present token, ms; 0: none yet. */
  provenAt: number;
  heardAt: number;
  /** Not before this can its worker's lease have ended. */
  leaseUntil: number;
  token: number;
  noticeAt: number;
  avoidUntil: number;
  idleSince: number;
  /** Since when it has had room for something that waits, ms; 0: it has none. */
  roomSince: number;
  /** How many tasks of which jobs failed on it since it last completed one. */
  failures: Map<string, number>;
  /** Images seen on it, and how long they take to fetch, s. */
  images: Map<string, number>;
  /** When this process took it up, ms. */
  takenAt: number;
  condemned: boolean;
  releasing: boolean;
}
