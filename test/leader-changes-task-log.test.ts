/** The meetings about leaders once more, with the task log in use. */
process.env['MEETING_TASK_LOG'] = '1';
await import('./leader-changes.test.js');
export {};
