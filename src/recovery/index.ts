export { phaseOf, Recovery, type Facts, type Phase, type Recovered, type Transition } from './recovery.js';
