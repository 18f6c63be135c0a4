export { Recent } from './recent-changes.js';
export { Vouching, type Question } from './freshness-quorum.js';
