/** The table of built-in functions. */
import type { FunctionSpec } from './define.js';
import { listFunctions } from './lists.js';
import { numericFunctions } from './numbers.js';
import { regexpFunctions } from './regular-expressions.js';
import { stringFunctions } from './strings.js';
import { timeFunctions } from './time.js';
import { typeFunctions } from './types.js';

/** All built-in functions, by name in lower case. */
export const functions: ReadonlyMap<string, FunctionSpec> = new Map(
  [
    ...typeFunctions,
    ...numericFunctions,
    ...stringFunctions,
    ...listFunctions,
    ...regexpFunctions,
    ...timeFunctions,
  ].map(([name, spec]) => [name.toLowerCase(), spec]),
);
