export { SubmitError } from './errors.js';
export { Submission, jsonOf } from './jobs.js';
export { nativeJob, type Group } from './native.js';
export { here } from './submit-host.js';
export type { Outside } from './submit-environment.js';
