/** Loss of data in the state service: detection, incarnations of the state, merging of records. Contains no I/O. */
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
