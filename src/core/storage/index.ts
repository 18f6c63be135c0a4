/**
 * The storage layer: keys and formats of stored records, batching and prioritization of writes within the write budget,
 * persistence of task state, and the task log. The rest of the core and the tests import it through this module only.
 */
export * from './keys.js';
export * from './records.js';
export {
  conditionsPerOperation,
  WritePriority,
  type BatchLimits,
  type PendingWrite,
} from './pending-write.js';
export { TransactionBatcher } from './transaction-batcher.js';
export { TaskWriter, type TaskOwner } from './task-writer.js';
export * from './task-log/index.js';
