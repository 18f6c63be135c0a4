/** Incarnations of the state, and the number ranges reserved for each of them. */

/**
 * An incarnation is the state from one loss of data to the next. Fencing tokens, attempt numbers and names of rentals are derived
 * from revisions and counters that a loss sets back; they still keep increasing, because each incarnation has its own range.
 */
export interface Incarnation {
  /** Numbered from 1. */
  readonly number: number;
  /** The member that opened the incarnation, or took over its opening. */
  readonly openedBy: string;
  /** The process of that member. */
  readonly instanceId: string;
  readonly stage: IncarnationStage;
  readonly modRevision: number;
}

/**
 * The stages of an incarnation, stored under these names.
 * `open`: records are being restored, and no controller acts.
 * `serving`: the machines and all unfinished jobs have been restored, so work continues; a query for a job that is missing is
 * answered with 503.
 * `whole`: all known records have been restored.
 */
export type IncarnationStage = 'open' | 'serving' | 'whole';

/** Revisions per incarnation: 2^17 incarnations of 2^36 revisions stay exact in JSON numbers (below 2^53). */
const tokenRange = 2 ** 36;
/** Attempts at a task per incarnation: 2^17 incarnations of 2^20 attempts stay exact, too. */
const attemptRange = 2 ** 20;

/** The highest incarnation whose tokens are exact numbers; no controller issues tokens of later ones. */
export const maxIncarnations = 2 ** 17 - 2;

/** The lower bound, exclusive, of the fencing tokens of an incarnation. */
export const tokenBase = (incarnation: number): number => Math.max(0, incarnation - 1) * tokenRange;
/** The lower bound, exclusive, of the attempt numbers of a task in an incarnation. */
export const attemptBase = (incarnation: number): number => Math.max(0, incarnation - 1) * attemptRange;

/** The incarnation in which a fencing token was issued. */
export const incarnationOf = (token: number): number => Math.floor(token / tokenRange) + 1;
