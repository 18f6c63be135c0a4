/** Incarnations of the state, and the ranges of numbers that each of them uses. */

/**
 * The state from one loss of data to the next. Fencing tokens, attempts and names of rentals are made from revisions and counters
 * that a loss sets back; they keep rising because each incarnation has a range of its own.
 */
export interface Incarnation {
  /** From 1. */
  readonly number: number;
  /** The member, and the process of it, that opened the incarnation or took its opening over. */
  readonly openedBy: string;
  readonly instanceId: string;
  readonly stage: IncarnationStage;
  readonly modRevision: number;
}

/**
 * `open`: records are being restored, no controller acts. `serving`: the machines and all jobs that are not finished are there, so
 * work goes on; a query for a job that is not there is answered 503. `whole`: everything known has been restored.
 */
export type IncarnationStage = 'open' | 'serving' | 'whole';

/** Ranges: exact in JSON numbers (below 2^53) for 2^17 incarnations of 2^36 revisions, and of 2^20 attempts at a task. */
const tokenRange = 2 ** 36;
const attemptRange = 2 ** 20;

/** Tokens of later incarnations would not be exact any more: no controller has issued one. */
export const maxIncarnations = 2 ** 17 - 2;

/** Fencing tokens of an incarnation are above this. */
export const tokenBase = (incarnation: number): number => Math.max(0, incarnation - 1) * tokenRange;
/** Attempts at a task in an incarnation are above this. */
export const attemptBase = (incarnation: number): number => Math.max(0, incarnation - 1) * attemptRange;

/** The incarnation that a fencing token was issued in. */
export const incarnationOf = (token: number): number => Math.floor(token / tokenRange) + 1;
