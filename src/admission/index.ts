export { Admission, type AdmissionLimits, type Away } from './admission.js';
export { FairQueue, type Entry } from './fairqueue.js';
export { maxMin, type Claim } from './maxmin.js';
export { Bucket, Meter } from './pace.js';
export { alonePart, partsOf, type Parts, type Wants } from './parts.js';
export { Tickets, type Turned } from './tickets.js';
