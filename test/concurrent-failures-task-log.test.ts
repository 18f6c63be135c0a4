/** Runs the tests of concurrent-failures.test.ts with the task log enabled. */
process.env['MEETING_TASK_LOG'] = '1';
await import('./concurrent-failures.test.js');
export {};
