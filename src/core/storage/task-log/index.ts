/**
 * The task log of a shard: a write-ahead log with group commit, checkpoints and truncation. One write makes the placements and
 * ends of many jobs durable (`writer.ts`); everybody follows it (`reader.ts`); what checkpoints include is dropped (`truncation.ts`).
 */
export {
  applyEntry,
  deltaBetween,
  emptyChunk,
  encodeLogRecord,
  decodeLogRecord,
  type LogEntry,
} from './entry.js';
export { LogReader, type EntryRef, type LogRecord, type ChunkStates } from './reader.js';
export { isObsolete, TruncationPlanner, type Checkpoints } from './truncation.js';
export { LogTruncator } from './truncator.js';
export { LogWriter, type LoggedTasks } from './writer.js';
