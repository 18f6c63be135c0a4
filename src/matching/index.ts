export { ClassAdMatcher, matchSpecError as wrongWith } from './matcher.js';
export { describeAnalysis as inWords, type Analysis } from './analysis.js';
export { machineAttributes as attributesOf } from './machine-ad.js';
