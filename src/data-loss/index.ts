export {
  attemptBase,
  incarnationOf,
  mostIncarnations,
  tokenBase,
  type Incarnation,
  type Stage,
} from './incarnation.js';
export { merge, same } from './merge.js';
export { audit, Witness, type Item } from './data-loss-detector.js';
