export { SubmitError } from './errors.js';
export { Submission, adToJson as jsonOf } from './jobs.js';
export { nativeSubmission as nativeJob, type JobGroup as Group } from './native.js';
export { submitHost as here } from './submit-host.js';
export type { SubmitEnvironment as Outside } from './submit-environment.js';
