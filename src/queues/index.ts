/** Bounded priority queues. */
export { BoundedPriorityQueues, type QueueLimits } from './bounded-priority-queues.js';
