export {
  attemptBase,
  incarnationOf,
  maxIncarnations,
  tokenBase,
  type Incarnation,
  type IncarnationStage,
} from './incarnation.js';
export { mergeRecords, sameRecord } from './merge.js';
export { comparePage, DataLossDetector, type KeyRevision } from './data-loss-detector.js';
