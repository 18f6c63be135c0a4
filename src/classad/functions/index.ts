/** All functions of the language. */
import type { FunctionSpec } from './define.js';
import { lists } from './lists.js';
import { numbers } from './numbers.js';
import { patterns } from './patterns.js';
import { strings } from './strings.js';
import { time } from './time.js';
import { types } from './types.js';

/** All functions of the language, by their names in lower case. */
export const functions: ReadonlyMap<string, FunctionSpec> = new Map(
  [...types, ...numbers, ...strings, ...lists, ...patterns, ...time].map(([name, spec]) => [
    name.toLowerCase(),
    spec,
  ]),
);
