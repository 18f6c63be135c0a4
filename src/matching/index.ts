/** Matchmaking between jobs and machines by expressions and attributes in HTCondor's ClassAd language. */
export { ClassAdMatcher, matchSpecError } from './matcher.js';
export { describeAnalysis, type MatchAnalysis } from './analysis.js';
export { machineAttributes } from './machine-ad.js';
