/** The messages between the processes of a scale run. All times are fractional milliseconds since the Unix epoch. */

/** The current time, comparable between the processes of a run. */
export const now = (): number => performance.timeOrigin + performance.now();

/** Timings of the worker protocol, as in the deployment's settings. */
export interface WorkerLimits {
  reportS: number;
  leaseS: number;
  cancelS: number;
}

/** A rented machine. */
export interface MachineSpec {
  host: string;
  zone: string;
}

/** Event-loop delay of a load generator. It shows whether a slow result is due to the generator and not to the service. */
export interface GeneratorLag {
  p99Ms: number;
  maxMs: number;
}

// ---- the platform process: state service and cloud ----

/** The first message to the platform process: limits of the state service and the cloud. */
export interface PlatformStart {
  kind: 'start';
  requestsPerS: number;
  writesPerS: number;
  valueKb: number;
  txnOps: number;
  cloudRequestsPerS: number;
  listLagS: number;
  machines: number;
  cpusOfMachine: number;
  zones: string[];
  seed: number;
}

/** Messages from the cell to the platform process. */
export type ToPlatform =
  | PlatformStart
  /** The workers on these machines now listen at these addresses. */
  | { kind: 'listening'; endpoints: [host: string, endpoint: string][] }
  | { kind: 'removed'; request: number }
  | { kind: 'died'; hosts: string[] }
  | { kind: 'outage'; durationMs: number }
  | { kind: 'report' };

/** Counters of the state service since its start. */
export interface PlatformCounts {
  requests: number;
  transactions: number;
  writes: number;
  refusedRequests: number;
  refusedWrites: number;
  bytesWritten: number;
  keys: number;
  /** Writes by purpose: `accept`, `placement`, `end`, `log`, `final`, `cancel`, `machine`, `drop`, `other`. */
  writesByKind: Record<string, number>;
}

/** Messages from the platform process to the cell. */
export type FromPlatform =
  | { kind: 'ready'; state: string; cloud: string }
  | { kind: 'booted'; machines: MachineSpec[] }
  | { kind: 'remove'; request: number; hosts: string[] }
  /** Urgent jobs for which the state service has just stored a placement, and when. */
  | { kind: 'placed'; jobs: [id: string, at: number][] }
  | {
      kind: 'status';
      counts: PlatformCounts;
      owner: string | null;
      leader: string | null;
      lag: GeneratorLag;
    };

// ---- hollow-worker processes ----

/** The first message to a hollow-worker process. */
export interface WorkersStart {
  kind: 'start';
  controllers: [member: string, address: string][];
  limits: WorkerLimits;
  cpusOfMachine: number;
  runMs: number;
  urgentRunMs: number;
  /** Second byte of the workers' loopback addresses: 127.NETWORK.x.y. */
  network: number;
  firstAddress: number;
  seed: number;
}

/** Messages from the cell to a hollow-worker process. */
export type ToWorkers =
  | WorkersStart
  | { kind: 'add'; machines: MachineSpec[] }
  | { kind: 'remove'; request: number; hosts: string[] }
  /** Stops machines abruptly, with their workers and tasks. */
  | { kind: 'kill'; hosts: string[] }
  /** Restarts the workers on these machines. */
  | { kind: 'restart'; hosts: string[] }
  /** From now on, the first lease renewal of each worker is counted and timed. */
  | { kind: 'mark' }
  | { kind: 'report' };

/** A task started on a machine (`on`), left it (`off`), or completed there (`done`). */
export interface TaskEvent {
  at: number;
  what: 'on' | 'off' | 'done';
  host: string;
  job: string;
  index: number;
}

/** Counters of a hollow-worker process since its start; `workers` and `running` are current numbers. */
export interface WorkerCounts {
  workers: number;
  running: number;
  reports: number;
  /** Heartbeats without a valid response. */
  failedReports: number;
  orders: number;
  expiredLeases: number;
  tasksLostWithLeases: number;
  /** How many of the workers present at the last mark have had their lease renewed since, and how long the slowest took. */
  renewedSinceMark: number;
  slowestRenewalMs: number;
}

/** The counters of a process that has just started. */
export const zeroWorkerCounts: WorkerCounts = {
  workers: 0,
  running: 0,
  reports: 0,
  failedReports: 0,
  orders: 0,
  expiredLeases: 0,
  tasksLostWithLeases: 0,
  renewedSinceMark: 0,
  slowestRenewalMs: 0,
};

/** Messages from a hollow-worker process to the cell. */
export type FromWorkers =
  | { kind: 'ready' }
  | { kind: 'listening'; endpoints: [host: string, endpoint: string][] }
  | { kind: 'removed'; request: number }
  | { kind: 'events'; events: TaskEvent[] }
  | { kind: 'status'; counts: WorkerCounts; lag: GeneratorLag };

// ---- the users process ----

/** The first message to the users process. */
export interface UsersStart {
  kind: 'start';
  controllers: [member: string, address: string][];
  teams: string[];
  startsPerS: number;
  tasksPerJob: number;
  initialTasks: number;
  urgentPerS: number;
  cancelShare: number;
  estimateS: number;
  urgentEstimateS: number;
  seed: number;
}

/** Messages from the cell to the users process. */
export type ToUsers = UsersStart | { kind: 'stop-submitting' } | { kind: 'report' };

/** An action of a simulated user, or a job status that it received (`told`). */
export type UserEvent =
  | { at: number; what: 'submitted'; job: string; team: string; tasks: number; cpus: number; urgent: boolean }
  | { at: number; what: 'accepted'; job: string; afterMs: number }
  | { at: number; what: 'given-up'; job: string }
  | { at: number; what: 'told'; job: string; status: string }
  | { at: number; what: 'cancelled'; job: string; afterMs: number };

/** Counters of the users process since its start; `openJobs` is the current number. */
export interface UserCounts {
  requests: number;
  /** Requests without an answer, or with a status of 429 or above. */
  unavailable: number;
  openJobs: number;
}

/** Messages from the users process to the cell. */
export type FromUsers =
  | { kind: 'ready' }
  | { kind: 'events'; events: UserEvent[] }
  | { kind: 'status'; counts: UserCounts; lag: GeneratorLag };
