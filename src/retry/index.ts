export { seeded, type Random } from './random.js';
export { Attempts, pauseMs, type RetryPolicy } from './attempts.js';
export { retryPolicies, type RetryPolicies, type RetrySettings } from './policies.js';
