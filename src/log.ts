/** The log of a process: JSON lines on standard error. */
import { pino } from 'pino';
import type { Log } from './core/effects.js';

const levels = new Set(['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent']);

/** Creates a logger at the level that the environment variable LOG_LEVEL sets, by default `info`. */
export function createLogger(member: string): Log {
  const wanted = process.env['LOG_LEVEL'] ?? 'info';
  const logger = pino(
    { level: levels.has(wanted) ? wanted : 'info', base: { member } },
    pino.destination({ fd: 2, sync: true }),
  );
  return (level, message, fields) => logger[level](fields ?? {}, message);
}
