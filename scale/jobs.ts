/** Job ids of a scale run. The number in an id tells the kind of the job. */

/** Kinds of jobs: initial load, batch jobs during the run, and urgent jobs. */
export type JobKind = 'initial' | 'usual' | 'urgent';

const firstNumbers: Record<JobKind, number> = { initial: 0, usual: 100_000_000, urgent: 200_000_000 };

/** The id of the n-th job of a kind, in the format of the protocol. */
export const jobId = (kind: JobKind, n: number): string => `req-${firstNumbers[kind] + n}`;

const numberOf = (id: string): number => Number(id.slice('req-'.length));

/** Whether a job belongs to the initial load, by its id. */
export const isInitialJob = (id: string): boolean => numberOf(id) < firstNumbers.usual;
/** Whether a job is urgent, by its id. */
export const isUrgentJob = (id: string): boolean => numberOf(id) >= firstNumbers.urgent;
