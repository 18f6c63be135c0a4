/**
 * The task log of a shard: a write-ahead log with group commit, checkpoints and truncation. One write makes the placements and
 * ends of many jobs durable (`writer.ts`); everybody follows it (`reader.ts`); what checkpoints include is dropped (`truncation.ts`).
 */
export { applyEntry, difference, emptyChunk, logData, readLog, type LogEntry } from './entry.js';
export { LogReader, type LogItem, type LogRecord, type TaskStates } from './reader.js';
export { isObsolete, Truncation, type Checkpoints } from './truncation.js';
export { LogTruncator } from './truncator.js';
export { LogWriter, type LoggedTasks } from './writer.js';
