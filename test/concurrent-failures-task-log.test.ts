/** All meetings once more, with the task log in use. */
process.env['MEETING_TASK_LOG'] = '1';
await import('./concurrent-failures.test.js');
export {};
