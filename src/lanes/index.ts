export { Lanes, type Lane } from './lanes.js';
