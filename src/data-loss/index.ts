/** Losses of data in the state service: noticing them, incarnations of the state, merging of records. Pure functions and state. */
export {
  attemptBase,
  incarnationOf,
  maxIncarnations,
  tokenBase,
  type Incarnation,
  type IncarnationStage,
} from './incarnation.js';
export { mergeRecords, sameRecord } from './merge.js';
export { comparePage, DataLossDetector, type KeyPage, type KeyRevision } from './data-loss-detector.js';
