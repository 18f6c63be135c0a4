/** Limits on a controller's resource use, derived from the platform's quota. */
export { limitsOf, type Limits, type LimitSettings } from './limits.js';
