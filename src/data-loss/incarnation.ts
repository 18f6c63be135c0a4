/**
 * An incarnation of the state: from one loss of data to the next. Tokens, attempts and names of rentals are made from revisions
 * and counters that a loss sets back; they go on above all from before because each incarnation has a range of its own.
 */
export interface Incarnation {
  /** From 1. */
  number: number;
  /** Who opened it. */
  openedBy: string;
  instanceId: string;
  stage: IncarnationStage;
  modRevision: number;
}

/**
 * `open`: what was known is being written again, nobody acts. `serving`: the fleet and the jobs that are not over are there, so
 * work goes on; who is asked about a job that is not there says 503. `whole`: all is there.
 */
export type IncarnationStage = 'open' | 'serving' | 'whole';

/** Ranges: exact in JSON numbers (below 2^53) for 2^17 incarnations of 2^36 revisions, and of 2^20 attempts at a task. */
const tokenRange = 2 ** 36;
const attemptRange = 2 ** 20;

/** Beyond this tokens would not be exact any more: whoever has seen one of them was told so by nobody here. */
export const maxIncarnations = 2 ** 17 - 2;

export const tokenBase = (incarnation: number): number => Math.max(0, incarnation - 1) * tokenRange;
export const attemptBase = (incarnation: number): number => Math.max(0, incarnation - 1) * attemptRange;

/** The incarnation that a token came from. */
export const incarnationOf = (token: number): number => Math.floor(token / tokenRange) + 1;
