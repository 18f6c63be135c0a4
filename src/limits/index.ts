/** Limits on what a controller uses, derived from the platform's quota. */
export { limitsOf, type Limits, type LimitSettings } from './limits.js';
