/** Mutual confirmation of replica freshness between controllers while the state service is unavailable. */
export { RecentChanges } from './recent-changes.js';
export { FreshnessQuorum, type FreshnessQuery } from './freshness-quorum.js';
