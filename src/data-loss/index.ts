export {
  attemptBase,
  incarnationOf,
  maxIncarnations as mostIncarnations,
  tokenBase,
  type Incarnation,
  type IncarnationStage as Stage,
} from './incarnation.js';
export { mergeRecords as merge, sameRecord as same } from './merge.js';
export {
  comparePage as audit,
  DataLossDetector as Witness,
  type KeyRevision as Item,
} from './data-loss-detector.js';
