/** How controllers confirm the freshness of each other's replicas while the state service is unavailable. */
export { RecentChanges } from './recent-changes.js';
export { FreshnessQuorum, type FreshnessQuery } from './freshness-quorum.js';
