/** The jobs of a scale run; what a job is for can be read off its number. */

export type JobKind = 'initial' | 'usual' | 'urgent';

const firstNumbers: Record<JobKind, number> = { initial: 0, usual: 100_000_000, urgent: 200_000_000 };

/** The id of the n-th job of a kind, in the protocol's form. */
export const jobId = (kind: JobKind, n: number): string => `req-${firstNumbers[kind] + n}`;

const numberOf = (id: string): number => Number(id.slice('req-'.length));

/** Whether a job belongs to the load at the start. */
export const isInitialJob = (id: string): boolean => numberOf(id) < firstNumbers.usual;
/** Whether a job is urgent, by its id. */
export const isUrgentJob = (id: string): boolean => numberOf(id) >= firstNumbers.urgent;
