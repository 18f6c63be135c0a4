/** Reads HTCondor submit files and converts their jobs to ClassAd records and native submissions. */
export { SubmitError } from './errors.js';
export { Submission, adToJson } from './jobs.js';
export { nativeSubmission, type JobGroup } from './native-submission.js';
export { localSubmitEnvironment } from './submit-host.js';
export type { SubmitEnvironment } from './submit-environment.js';
