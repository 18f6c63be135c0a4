export { RecentChanges as Recent } from './recent-changes.js';
export { FreshnessQuorum as Vouching, type FreshnessQuery as Question } from './freshness-quorum.js';
