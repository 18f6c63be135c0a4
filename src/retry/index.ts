export { seededRandom as seeded, type Random } from './random.js';
export { RetryBackoff as Attempts, backoffDelayMs as pauseMs, type RetryPolicy } from './attempts.js';
export { retryPolicies, type RetryPolicies, type RetrySettings } from './policies.js';
