/** Retry policies, exponential backoff, and the random numbers that both need. */
export { seededRandom, type Random } from './random.js';
export { RetryBackoff, backoffDelayMs, type RetryPolicy } from './backoff.js';
export { retryPolicies, type RetryPolicies, type RetrySettings } from './policies.js';
