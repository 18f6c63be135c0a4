/** The program's version, from package.json. */
import { existsSync, readFileSync } from 'node:fs';

/** The version in the nearest package.json above this module; '0' if there is none. */
export function version(): string {
  // In a test build this module is in a more deeply nested directory.
  for (let at = new URL('./', import.meta.url); ; at = new URL('../', at)) {
    const path = new URL('package.json', at);
    if (existsSync(path)) return (JSON.parse(readFileSync(path, 'utf8')) as { version: string }).version;
    if (at.pathname === '/') return '0';
  }
}
