/** Generates IDs for jobs that the command line submits. */
import { randomInt } from 'node:crypto';

/** A random job ID. */
export const newJobId = (): string => `req-${randomInt(1e14, 2.8e14)}`;
