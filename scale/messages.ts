/** The messages between the processes of a scale run. All times are milliseconds of the time of day, with fractions. */

export const now = (): number => performance.timeOrigin + performance.now();

/** The limits of the workers' protocol, as the settings of the deployment have them. */
export interface WorkerLimits {
  reportS: number;
  leaseS: number;
  cancelS: number;
}

/** A machine that has been rented. */
export interface MachineSpec {
  host: string;
  zone: string;
}

/** What a generator process has to say of its own load: its limits must not be taken for the service's. */
export interface GeneratorLag {
  p99Ms: number;
  maxMs: number;
}

// ---- the platform process: state service and cloud ----

/** What the platform process is started with: limits of state service and cloud. */
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

/** What the cell sends to the platform process. */
export type ToPlatform =
  | PlatformStart
  /** Workers on these machines listen at these addresses. */
  | { kind: 'listening'; endpoints: [host: string, endpoint: string][] }
  | { kind: 'removed'; request: number }
  | { kind: 'died'; hosts: string[] }
  | { kind: 'outage'; durationMs: number }
  | { kind: 'report' };

/** Counted since the start. */
export interface PlatformCounts {
  requests: number;
  transactions: number;
  writes: number;
  refusedRequests: number;
  refusedWrites: number;
  bytesWritten: number;
  keys: number;
  /** Writes by the kind of what was written, as `accept`, `placement`, `end`, `log`, `final`, `cancel`, `machine`, `other`. */
  writesByKind: Record<string, number>;
}

/** What the platform process sends to the cell. */
export type FromPlatform =
  | { kind: 'ready'; state: string; cloud: string }
  | { kind: 'booted'; machines: MachineSpec[] }
  | { kind: 'remove'; request: number; hosts: string[] }
  /** Urgent jobs whose first placement the state service has just stored, and when. */
  | { kind: 'placed'; jobs: [id: string, at: number][] }
  | {
      kind: 'status';
      counts: PlatformCounts;
      owner: string | null;
      leader: string | null;
      lag: GeneratorLag;
    };

// ---- processes of hollow workers ----

/** What a process of hollow workers is started with. */
export interface WorkersStart {
  kind: 'start';
  controllers: [member: string, address: string][];
  limits: WorkerLimits;
  cpusOfMachine: number;
  runMs: number;
  urgentRunMs: number;
  /** The workers' own addresses: 127.NETWORK.x.y. */
  network: number;
  firstAddress: number;
  seed: number;
}

/** What the cell sends to a process of hollow workers. */
export type ToWorkers =
  | WorkersStart
  | { kind: 'add'; machines: MachineSpec[] }
  | { kind: 'remove'; request: number; hosts: string[] }
  /** Machines that stop with all that is on them. */
  | { kind: 'kill'; hosts: string[] }
  /** Worker processes that end and are started again. */
  | { kind: 'restart'; hosts: string[] }
  /** From now on the time of each worker's next renewed lease is noted. */
  | { kind: 'mark' }
  | { kind: 'report' };

/** A task came to be on a machine, left it, or completed there. */
export interface TaskEvent {
  at: number;
  what: 'on' | 'off' | 'done';
  host: string;
  job: string;
  index: number;
}

/** Counted since the start. */
export interface WorkerCounts {
  workers: number;
  running: number;
  reports: number;
  /** Reports that brought no answer that counts. */
  failedReports: number;
  orders: number;
  expiredLeases: number;
  tasksLostWithLeases: number;
  /** Of the workers that were there at the last mark: so many had their lease renewed, and the longest took this long. */
  renewedSinceMark: number;
  slowestRenewalMs: number;
}

/** Of a process that has done nothing yet. */
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

/** What a process of hollow workers sends to the cell. */
export type FromWorkers =
  | { kind: 'ready' }
  | { kind: 'listening'; endpoints: [host: string, endpoint: string][] }
  | { kind: 'removed'; request: number }
  | { kind: 'events'; events: TaskEvent[] }
  | { kind: 'status'; counts: WorkerCounts; lag: GeneratorLag };

// ---- the process of hollow users ----

/** What the process of the users is started with. */
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

/** What the cell sends to the process of the users. */
export type ToUsers = UsersStart | { kind: 'stop-submitting' } | { kind: 'report' };

/** What users did and were told. */
export type UserEvent =
  | { at: number; what: 'submitted'; job: string; team: string; tasks: number; cpus: number; urgent: boolean }
  | { at: number; what: 'accepted'; job: string; afterMs: number }
  | { at: number; what: 'given-up'; job: string }
  | { at: number; what: 'told'; job: string; status: string }
  | { at: number; what: 'cancelled'; job: string; afterMs: number };

/** Counted since the start. */
export interface UserCounts {
  requests: number;
  unavailable: number;
  openJobs: number;
}

/** What the process of the users sends to the cell. */
export type FromUsers =
  | { kind: 'ready' }
  | { kind: 'events'; events: UserEvent[] }
  | { kind: 'status'; counts: UserCounts; lag: GeneratorLag };
