export { Lanes, type Lane } from './bounded-priority-queues.js';
