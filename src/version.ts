/** The program's version, from package.json. */
import { existsSync, readFileSync } from 'node:fs';

/** Which program this is. */
export function version(): string {
  // Built for tests, the program lies deeper.
  for (let at = new URL('./', import.meta.url); ; at = new URL('../', at)) {
    const path = new URL('package.json', at);
    if (existsSync(path)) return (JSON.parse(readFileSync(path, 'utf8')) as { version: string }).version;
    if (at.pathname === '/') return '0';
  }
}
