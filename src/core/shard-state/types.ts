/** The forms of jobs, chunks of their tasks, placements and machines while they are scheduled. */
import type { JobSpec } from '../../model/job.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { TaskPhase } from '../../model/heartbeat.js';
import type { BitSet, WritePriority } from '../storage/index.js';
import type { VersionedMachine } from '../replica.js';

/** A task's present attempt. It exists from the decision to place until it is proven gone. */
export interface Placement {
  job: ScheduledJob;
  index: number;
  attempt: number;
  host: string;
  /** The zone of its machine, as far as that was known when it was entered. */
  zone: string | null;
  chunk: TaskChunk;
  /** The chunk's version that first holds it: durable once that version is. */
  chunkVersion: number;
  /** Decided by this process, so nobody else can have sent its start. */
  placedByThisProcess: boolean;
  /** The (session, seq) of the report whose answer carried the start. */
  startSentWith: [number, number] | null;
  phase: TaskPhase | 'placed';
  /** When it was first seen to run, ms; 0: not yet. */
  runningSince: number;
  /** Gang: when it was first seen to wait for the others, ms; 0: not yet. */
  waitingSince: number;
  placedAt: number;
  /** Wanted off its machine, with this much time to save. */
  stopRequest: { graceS: number; since: number } | null;
}

export interface TaskChunk {
  index: number;
  firstTask: number;
  size: number;
  modRevision: number;
  lastAttempt: number;
  completed: BitSet;
  /** Version in memory, and the newest version known to be durable. */
  version: number;
  /** The version that holds the newest placement. */
  placedVersion: number;
  durableVersion: number;
  /** Its write that waits or is under way. */
  queuedWrite: { rank: WritePriority } | null;
  /** Not to be written before the view has reached this revision. */
  writeBlockedUntilRevision: number;
}

export interface ScheduledJob {
  id: string;
  spec: JobSpec;
  shard: number;
  acceptedAt: number;
  modRevision: number;
  cancelled: boolean;
  chunks: TaskChunk[];
  /** How many tasks each chunk but the last has. */
  tasksPerChunk: number;
  placements: Map<number, Placement>;
  /** Tasks that wait for a place: those never placed from `fresh` on, and those to be placed again. */
  nextUnplaced: number;
  requeued: Set<number>;
  tasksByZone: Map<string, number>;
  /** Tasks on machines of which no record says in which zone they are. */
  unknownZoneTasks: number;
  finalizing: boolean;
  /** Something of it cannot be read (any more): what is placed stays counted, and nothing is done about it. */
  unreadable: boolean;
  /** Gang: an attempt is being taken down; nothing starts until all of it is gone. */
  tearingDown: boolean;
  /** Gang: tasks that were lost before it started are placed anew with this attempt, which the others wait with. */
  repairAttempt: number | null;
  /** Machines on which its tasks failed. */
  failedHosts: Set<string>;
  /** How often it was tried in vain since it is suspected of a mistake. */
  failedProbes: number;
  /** It found no place where it has not failed yet: it may be tried on any machine. */
  anyHostAllowed: boolean;
  completedCount: number;
  retryNotBefore: number;
  /** Since when all of it waits, if it does: time of day, ms. */
  fullyWaitingSince: number;
  /** What it asks of machines beyond type and place; null: nothing. */
  match: MachineMatch | null;
}

export interface ScheduledMachine {
  host: string;
  record: VersionedMachine;
  type: MachineType;
  zone: string;
  spot: boolean;
  used: Resources;
  placements: Map<string, Placement>;
  endpoint: string;
  agentEpoch: number;
  heartbeatSeq: number;
  /** Last report under our present token, ms; 0: none yet. */
  confirmedAt: number;
  lastHeartbeatAt: number;
  /** Not before this can its worker's lease have ended. */
  earliestLeaseExpiry: number;
  fencingToken: number;
  reclaimAt: number;
  cooldownUntil: number;
  idleSince: number;
  /** Since when it has had room for something that waits, ms; 0: it has none. */
  freeCapacitySince: number;
  /** How many tasks of which jobs failed on it since it last completed one. */
  failuresByJob: Map<string, number>;
  /** Images seen on it, and how long they take to fetch, s. */
  images: Map<string, number>;
  /** When this process took it up, ms. */
  acquiredAt: number;
  quarantined: boolean;
  releasing: boolean;
}
