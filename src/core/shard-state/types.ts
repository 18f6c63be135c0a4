/** In-memory types of the scheduler: jobs, task chunks, placements and machines. */
import type { JobSpec } from '../../model/job.js';
import type { TaskPhase } from '../../model/heartbeat.js';
import type { Resources, MachineType } from '../../model/machine.js';
import type { MachineMatch } from '../../policy/matching.js';
import type { VersionedMachine } from '../replica.js';
import type { BitSet, WritePriority } from '../storage/index.js';

/** The position of a heartbeat in the sequence of its machine's heartbeats. */
export interface HeartbeatPosition {
  /** The epoch of the agent that sent it. It increases with each start of an agent. */
  readonly agentEpoch: number;
  /** Its sequence number within the epoch. */
  readonly heartbeatSeq: number;
}

/** The decision to place a task on a host. */
export interface TaskAssignment {
  readonly index: number;
  readonly host: string;
}

/**
 * Why a placement is removed. `completed`: its task completed. `requeue`: the attempt ended or never ran, and the task waits
 * to be placed again.
 */
export type PlacementOutcome = 'completed' | 'requeue';

/** A request to stop a task. */
export interface StopRequest {
  /** The time that the task gets to save its state, s. */
  readonly graceS: number;
  /** When the request was made, on the monotonic clock, ms. */
  readonly since: number;
}

/** The current attempt of a task. It exists from the decision to place the task until the attempt is proven to be over. */
export interface Placement {
  readonly job: ScheduledJob;
  /** The task's index in its job. */
  readonly index: number;
  readonly attempt: number;
  readonly host: string;
  /** The zone of its machine; null: the zone was not known when the placement was added. */
  readonly zone: string | null;
  readonly chunk: TaskChunk;
  /** The first version of the chunk that contains the placement. The placement is durable once that version is. */
  readonly chunkVersion: number;
  /** Whether it was decided by this process, so that no other controller can have sent its start. */
  readonly placedByThisProcess: boolean;
  /** The heartbeat whose response carried the start command; null: none yet. */
  startSentWith: HeartbeatPosition | null;
  phase: TaskPhase | 'placed';
  /** When a heartbeat first reported it as running, ms; 0: none yet. */
  runningSince: number;
  /** For a gang: when a heartbeat first reported it as waiting for the other tasks, ms; 0: none yet. */
  waitingSince: number;
  readonly placedAt: number;
  /** Set once the task has been asked to stop; null: it has not. */
  stopRequest: StopRequest | null;
}

/** Consecutive tasks of a job whose states are stored together. */
export interface TaskChunk {
  /** Its number within its job, from 0. */
  readonly index: number;
  /** The index of its first task. */
  readonly firstTask: number;
  /** How many tasks it has. */
  readonly size: number;
  /** The revision of the record that holds its state; 0: no state is stored yet. */
  modRevision: number;
  /** The highest attempt number used in it. */
  lastAttempt: number;
  /** Which of its tasks have completed, by index relative to `firstTask`. */
  readonly completed: BitSet;
  /** The version of its state in memory. It increases with each change. */
  version: number;
  /** The version that added the newest placement. */
  lastPlacementVersion: number;
  /** The newest version known to be durable. */
  durableVersion: number;
  /** Its write that is queued or in progress; null: none. */
  queuedWrite: { readonly priority: WritePriority } | null;
  /** It must not be written until the replica has reached this revision. */
  writeBlockedUntilRevision: number;
}

/** A job in one of this process's shards. */
export interface ScheduledJob {
  readonly id: string;
  readonly spec: JobSpec;
  readonly shard: number;
  /** Wall-clock time at which the job was accepted, ms. */
  readonly acceptedAt: number;
  /** The revision of its record. */
  modRevision: number;
  cancelled: boolean;
  readonly chunks: TaskChunk[];
  /** Chunks to which this process has added placements that may not be durable yet. */
  readonly chunksAwaitingDurability: Set<TaskChunk>;
  /** The number of tasks in every chunk but the last, which may have fewer. */
  readonly tasksPerChunk: number;
  /** The current placements, by task index. */
  readonly placements: Map<number, Placement>;
  /** Tasks from this index on have not been handed out for placement yet. */
  nextUnplaced: number;
  /** Tasks below `nextUnplaced` that must be placed again. */
  readonly requeued: Set<number>;
  /** How many tasks have completed. */
  completedCount: number;
  /** The number of placements in each zone. */
  readonly tasksByZone: Map<string, number>;
  /** The number of placements on machines whose zone is not known. */
  unknownZoneTasks: number;
  /** Whether its completion is being written to the state service. */
  finalizing: boolean;
  /** Whether one of its records cannot be read. Its placements still count as usage, but are not acted on. */
  unreadable: boolean;
  /** For a gang: an attempt is being torn down. Nothing is started until all of its tasks are gone. */
  tearingDown: boolean;
  /** For a gang: the attempt in which tasks that were lost before the start are being replaced; null: none. */
  repairAttempt: number | null;
  /** The hosts on which its tasks failed. */
  readonly failedHosts: Set<string>;
  /** Failed tries since it became suspect; tries that fail at about the same time count as one. Delays the next try. */
  failedRetries: number;
  /** Whether it may run on hosts on which it failed, because no other machine had room for it. */
  anyHostAllowed: boolean;
  /** None of its tasks is placed before this time, ms. */
  retryNotBefore: number;
  /** Wall-clock time since when none of its tasks has been placed, ms. Meaningless while some are placed. */
  unplacedSince: number;
  /** Its machine requirements and preferences other than type and zone; null: none. */
  match: MachineMatch | null;
}

/** A machine in one of this process's shards, including the position of its last heartbeat. */
export interface ScheduledMachine extends HeartbeatPosition {
  readonly host: string;
  record: VersionedMachine;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** The resources that its placements use. */
  readonly used: Resources;
  /** Its placements, by task key. */
  readonly placements: Map<string, Placement>;
  /** The address at which its worker accepts commands; empty: not known yet. */
  endpoint: string;
  agentEpoch: number;
  heartbeatSeq: number;
  /** When the last heartbeat with the current fencing token was received, ms; 0: none yet. */
  confirmedAt: number;
  /** When the last heartbeat was received, ms; 0: none yet. */
  lastHeartbeatAt: number;
  /** The lease of its worker cannot have expired before this time, ms. */
  earliestLeaseExpiry: number;
  /** The fencing token of the last response to its worker. */
  fencingToken: number;
  /** When the cloud will reclaim it, ms; 0: no reclaim notice was received. */
  reclaimAt: number;
  /** No task is placed on it before this time, ms. */
  cooldownUntil: number;
  /** Since when it has had no placements, ms. Meaningless while it has some. */
  idleSince: number;
  /** Since when it has had free capacity for a waiting task, ms; 0: it has none. */
  freeCapacitySince: number;
  /** The number of tasks that have failed on it since a task last completed on it, by job. */
  readonly failuresByJob: Map<string, number>;
  /** The time to fetch each image that is known to be on it or on its way, by image, s. */
  readonly images: Map<string, number>;
  /** When this process acquired it, ms. */
  readonly acquiredAt: number;
  /** Whether it takes no more tasks and will be deleted once nothing runs on it. */
  quarantined: boolean;
  /** Whether its release is being written to the state service. */
  releasing: boolean;
}
