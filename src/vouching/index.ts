export { Recent } from './recent.js';
export { Vouching, type Question } from './vouching.js';
