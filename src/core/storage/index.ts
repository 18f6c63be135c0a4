/**
 * The write path: names and forms of what is stored, the write budget and its ranks, what makes the states of tasks durable, and
 * the task log. The rest of the core, and tests, know this face only.
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
