/**
 * The task log of a shard: a write-ahead log with group commit, checkpoints and truncation. One write makes the placements and
 * terminations of many jobs durable (`writer.ts`). All controllers follow the log (`reader.ts`). Records whose entries are
 * covered by checkpoints are deleted (`truncation-planner.ts`, `truncator.ts`).
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
export { isObsolete, TruncationPlanner, type Checkpoints } from './truncation-planner.js';
export { LogTruncator } from './truncator.js';
export { LogWriter, type LogWriterOwner } from './writer.js';
