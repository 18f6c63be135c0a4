export { ClassAdMatcher, wrongWith } from './matcher.js';
export { inWords, type Analysis } from './clauses.js';
export { attributesOf } from './machine-ad.js';
