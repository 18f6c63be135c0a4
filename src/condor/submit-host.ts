/** The machine on which a submit file is submitted. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { globSync } from 'tinyglobby';
import type { SubmitEnvironment } from './submit-environment.js';

/** This machine as the environment of submit files. */
export function submitHost(): SubmitEnvironment {
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
    glob: (pattern, what) =>
      globSync(pattern, {
        cwd,
        absolute: pattern.startsWith('/'),
        onlyFiles: what === 'files',
        onlyDirectories: what === 'dirs',
        expandDirectories: false,
      })
        .map((path) => path.replace(/\/$/, ''))
        .sort(),
  };
}
