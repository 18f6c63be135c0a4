export { limitsOf, type Limits, type LimitSettings } from './limits.js';
