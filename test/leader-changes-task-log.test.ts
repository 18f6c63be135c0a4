/** Runs the tests of leader-changes.test.ts again with the task log enabled. */
process.env['MEETING_TASK_LOG'] = '1';
await import('./leader-changes.test.js');
export {};
