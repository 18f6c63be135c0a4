/** Jobs, chunks of their tasks, placements and machines as they are scheduled. */
import type { JobSpec } from '../../model/job.js';
import type { TaskPhase } from '../../model/heartbeat.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { VersionedMachine } from '../replica.js';
import type { BitSet, WritePriority } from '../storage/index.js';

/** A heartbeat's position among those of its machine. */
export interface HeartbeatPosition {
  /** The epoch of the agent that sent it: rises with each start of an agent. */
  readonly agentEpoch: number;
  /** Its sequence number within the epoch. */
  readonly heartbeatSeq: number;
}

/** Where a task is to be placed. */
export interface TaskAssignment {
  readonly index: number;
  readonly host: string;
}

/**
 * What became of a placement that is removed: its task completed; it ended or never ran, and the task waits again; or it was lost
 * with its machine, and the task waits again.
 */
export type PlacementOutcome = 'completed' | 'requeue' | 'lost';

/** A request that a task stops. */
export interface StopRequest {
  /** The time that the task gets to save, s. */
  readonly graceS: number;
  /** When the request was made, ms. */
  readonly since: number;
}

/** A task's current attempt. It exists from the decision to place the task until the attempt is proven gone. */
export interface Placement {
  readonly job: ScheduledJob;
  /** The task's index in its job. */
  readonly index: number;
  readonly attempt: number;
  readonly host: string;
  /** The zone of its machine, as far as that was known when the placement was entered. */
  readonly zone: string | null;
  readonly chunk: TaskChunk;
  /** The first version of the chunk that holds the placement: it is durable once that version is. */
  readonly chunkVersion: number;
  /** Whether it was decided by this process, so that nobody else can have sent its start. */
  readonly placedByThisProcess: boolean;
  /** The heartbeat whose response carried the start; null: none yet. */
  startSentWith: HeartbeatPosition | null;
  phase: TaskPhase | 'placed';
  /** When it was first seen to run, ms; 0: not yet. */
  runningSince: number;
  /** Of a gang: when it was first seen to wait for the others, ms; 0: not yet. */
  waitingSince: number;
  readonly placedAt: number;
  /** Set once the task is to stop. */
  stopRequest: StopRequest | null;
}

/** Consecutive tasks of a job whose state is stored together. */
export interface TaskChunk {
  /** Its number in its job, from 0. */
  readonly index: number;
  /** The index of its first task. */
  readonly firstTask: number;
  /** How many tasks it has. */
  readonly size: number;
  /** The revision of the record that holds its state; 0: there is none. */
  modRevision: number;
  /** The highest attempt number used in it. */
  lastAttempt: number;
  /** Which of its tasks have completed, counted from the first. */
  readonly completed: BitSet;
  /** Rises with each change of its state in memory. */
  version: number;
  /** The version with the newest placement. */
  placedVersion: number;
  /** The newest version known to be durable. */
  durableVersion: number;
  /** Its write that waits or is under way. */
  queuedWrite: { readonly rank: WritePriority } | null;
  /** It is not written before the replica has reached this revision. */
  writeBlockedUntilRevision: number;
}

/** A job of this process's shards. */
export interface ScheduledJob {
  readonly id: string;
  readonly spec: JobSpec;
  readonly shard: number;
  /** Time of day at which the job was accepted, ms. */
  readonly acceptedAt: number;
  /** The revision of its record. */
  modRevision: number;
  cancelled: boolean;
  readonly chunks: TaskChunk[];
  /** How many tasks each chunk but the last has. */
  readonly tasksPerChunk: number;
  /** The current placements, by the index of the task. */
  readonly placements: Map<number, Placement>;
  /** Tasks from this index on were not handed out for placement yet. */
  nextUnplaced: number;
  /** Tasks below `nextUnplaced` that are to be placed again. */
  readonly requeued: Set<number>;
  /** How many tasks have completed. */
  completedCount: number;
  /** How many placements there are in each zone. */
  readonly tasksByZone: Map<string, number>;
  /** How many placements are on machines whose zone is not known. */
  unknownZoneTasks: number;
  /** Whether its completion is being written. */
  finalizing: boolean;
  /** Whether a record of it cannot be read: its placements stay counted, and nothing is done about them. */
  unreadable: boolean;
  /** Of a gang: an attempt is being torn down; nothing starts until all of it is gone. */
  tearingDown: boolean;
  /** Of a gang: the attempt in which tasks that were lost before the start are replaced; null: there are none. */
  repairAttempt: number | null;
  /** Machines on which its tasks failed. */
  readonly failedHosts: Set<string>;
  /** How often it failed since it is suspect. */
  failedProbes: number;
  /** Whether it may run on machines on which it failed: there was no place on others. */
  anyHostAllowed: boolean;
  /** Nothing of it is placed before this moment, ms. */
  retryNotBefore: number;
  /** Time of day since which none of its tasks is placed, ms; while some are, it has no meaning. */
  fullyWaitingSince: number;
  /** What it asks of machines beyond type and zone; null: nothing. */
  match: MachineMatch | null;
}

/** A machine of this process's shards; also the position of its last heartbeat. */
export interface ScheduledMachine extends HeartbeatPosition {
  readonly host: string;
  record: VersionedMachine;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** What its placements take. */
  readonly used: Resources;
  /** Its placements, by the key of the task. */
  readonly placements: Map<string, Placement>;
  /** Where its worker takes orders; empty: not known yet. */
  endpoint: string;
  agentEpoch: number;
  heartbeatSeq: number;
  /** When the last heartbeat under the current fencing token came, ms; 0: none yet. */
  confirmedAt: number;
  /** When the last heartbeat came, ms; 0: none yet. */
  lastHeartbeatAt: number;
  /** The lease of its worker cannot have expired before this moment, ms. */
  earliestLeaseExpiry: number;
  /** The token of the last response to its worker. */
  fencingToken: number;
  /** When the cloud will reclaim it, ms; 0: it gave no notice. */
  reclaimAt: number;
  /** Nothing is placed on it before this moment, ms. */
  cooldownUntil: number;
  /** Since when it has had no placement, ms; while it has some, it has no meaning. */
  idleSince: number;
  /** Since when it has had capacity for a waiting task, ms; 0: it has none. */
  freeCapacitySince: number;
  /** How many tasks of which jobs failed on it since it last completed one. */
  readonly failuresByJob: Map<string, number>;
  /** Images seen on it, and how long they take to fetch, s. */
  readonly images: Map<string, number>;
  /** When this process acquired it, ms. */
  readonly acquiredAt: number;
  /** Whether it is to be deleted once nothing runs on it, and takes no more tasks. */
  quarantined: boolean;
  /** Whether its release is being written. */
  releasing: boolean;
}
