/** Provides the properties of the local machine to submit files. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { globSync } from 'tinyglobby';
import type { SubmitEnvironment } from './submit-environment.js';

/** Returns the submit environment of the local machine and the current process. */
export function localSubmitEnvironment(): SubmitEnvironment {
  const cwd = process.cwd();
  return {
    cwd,
    env: process.env,
    user: userInfo().username,
    nowS: Date.now() / 1000,
    random: Math.random,
    read: (path) => {
      try {
        return readFileSync(path, 'utf8');
      } catch {
        return null;
      }
    },
    glob: (pattern, type) =>
      globSync(pattern, {
        cwd,
        absolute: pattern.startsWith('/'),
        onlyFiles: type === 'files',
        onlyDirectories: type === 'dirs',
        expandDirectories: false,
      })
        .map((path) => path.replace(/\/$/, ''))
        .sort(),
  };
}
