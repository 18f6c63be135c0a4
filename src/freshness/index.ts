export { RecentChanges } from './recent-changes.js';
export { FreshnessQuorum, type FreshnessQuery } from './freshness-quorum.js';
