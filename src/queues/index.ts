export { BoundedPriorityQueues as Lanes, type QueueLimits as Lane } from './bounded-priority-queues.js';
