/** The macro functions of submit files: `$INT(...)`, `$SUBSTR(...)`, `$Fn(...)` and others. */
import { basename, dirname, extname, resolve } from 'node:path';
import { sprintf } from 'sprintf-js';
import { ClassAd, ClassAdError, evaluate, parseExpr, printValue, type Value } from '../classad/index.js';
import { SubmitError, type SourcePosition } from './errors.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** The inputs of a function call besides its arguments. */
export interface FunctionContext {
  readonly position: SourcePosition;
  readonly environment: SubmitEnvironment;
  /** Returns the value of the macro that the argument names; the argument itself if there is none. */
  resolve(argument: string): string;
}

/** The result of a function call. */
export interface FunctionResult {
  readonly text: string;
  /** Whether the result is random, so that another call may return another result. */
  readonly random: boolean;
}

/** The formats that are passed to `sprintf`, for each type of value. */
const integerFormat = /^[^%]*%[-+ 0]*\d*[dixXo][^%]*$/;
const realFormat = /^[^%]*%[-+ 0]*\d*(\.\d+)?[fFgGeE][^%]*$/;
const stringFormat = /^[^%]*%-?\d*(\.\d+)?s[^%]*$/;

/** A function call: its arguments, and helpers to evaluate and format them. */
class FunctionCall {
  readonly args: readonly string[];

  constructor(
    private readonly name: string,
    readonly body: string,
    readonly context: FunctionContext,
  ) {
    this.args = body.split(',').map((argument) => argument.trim());
  }

  fail(reason: string): never {
    throw new SubmitError(this.context.position, `$${this.name}(${this.body}): ${reason}`);
  }

  resolve(argument: string): string {
    return this.context.resolve(argument);
  }

  /** Evaluates an argument as an expression. */
  value(argument: string): Value {
    try {
      return evaluate(parseExpr(this.resolve(argument)), new ClassAd());
    } catch (error) {
      if (error instanceof ClassAdError) return this.fail(error.message);
      throw error;
    }
  }

  number(argument: string): number {
    const value = this.value(argument);
    if (typeof value !== 'bigint' && typeof value !== 'number') return this.fail('not a number');
    return Number(value);
  }

  /** Formats a value with the second argument, which must match `accepted`. */
  format(value: number | string, accepted: RegExp): string {
    const format = this.args[1];
    if (format === undefined) return String(value);
    if (!accepted.test(format)) return this.fail(`${format}: not a format for this type of value`);
    return sprintf(format, value);
  }
}

const valueToText = (value: Value): string => (typeof value === 'string' ? value : printValue(value));

function chooseByIndex(call: FunctionCall): string {
  const { args } = call;
  const choices =
    args.length === 2
      ? call
          .resolve(args[1])
          .split(',')
          .map((choice) => choice.trim())
      : args.slice(1);
  const index = call.number(args[0]);
  return choices[index] ?? call.fail(`there is no choice ${index} of ${choices.length}`);
}

function substring(call: FunctionCall): string {
  const { args } = call;
  const text = call.resolve(args[0]);
  const start = call.number(args[1] ?? call.fail('the start position is missing'));
  const from = start < 0 ? Math.max(0, text.length + start) : start;
  const length = args[2] === undefined ? text.length : call.number(args[2]);
  return length < 0 ? text.slice(from, length) : text.slice(from, from + length);
}

function randomInteger(call: FunctionCall): string {
  const { args } = call;
  const min = call.number(args[0]);
  const max = call.number(args[1] ?? call.fail('the upper limit is missing'));
  const step = call.number(args[2] ?? '1');
  if (max < min || step < 1) return call.fail('the range is empty');
  return String(min + step * Math.floor((call.context.environment.random() * (max - min + step)) / step));
}

function environmentVariable(call: FunctionCall): string {
  const { body } = call;
  const colon = body.indexOf(':');
  const key = (colon < 0 ? body : body.slice(0, colon)).trim();
  const value = call.context.environment.env[key];
  if (value !== undefined) return value;
  return colon < 0 ? call.fail('not set in the environment') : body.slice(colon + 1);
}

/** The deterministic functions, by name in upper case. */
const functions: Readonly<Record<string, (call: FunctionCall) => string>> = {
  ENV: environmentVariable,
  INT: (call) => call.format(Math.trunc(call.number(call.args[0])), integerFormat),
  REAL: (call) => call.format(call.number(call.args[0]), realFormat),
  STRING: (call) => call.format(valueToText(call.value(call.args[0])), stringFormat),
  EVAL: (call) => valueToText(call.value(call.args[0])),
  CHOICE: chooseByIndex,
  SUBSTR: substring,
  BASENAME: (call) => basename(call.resolve(call.args[0])),
  DIRNAME: (call) => dirname(call.resolve(call.args[0])),
};

/** The functions with random results, by name in upper case. */
const randomFunctions: Readonly<Record<string, (call: FunctionCall) => string>> = {
  RANDOM_CHOICE: (call) => call.args[Math.floor(call.context.environment.random() * call.args.length)],
  RANDOM_INTEGER: randomInteger,
};

/** Calls a function. `body` is the text between the parentheses, with macro references already expanded. */
export function callMacroFunction(name: string, body: string, context: FunctionContext): FunctionResult {
  const call = new FunctionCall(name, body, context);
  const key = name.toUpperCase();
  if (Object.hasOwn(randomFunctions, key)) return { text: randomFunctions[key](call), random: true };
  if (Object.hasOwn(functions, key)) return { text: functions[key](call), random: false };
  if (!/^F[abdfnpquwx]*$/i.test(name)) return call.fail('no such function');
  const file = call.resolve(call.args[0]);
  const text = fileNameParts(name.slice(1).toLowerCase(), file, context.environment.cwd);
  return { text, random: false };
}

/**
 * Returns the parts of a file name that the letters select: `p` the directory, `d` its last component, `n` the base name, `x`
 * the extension. `f` makes the path absolute first, `q` adds double quotes (with `a`: single quotes), `w` and `u` convert to
 * backslashes or slashes, and `b` omits the trailing slash or the leading dot.
 */
function fileNameParts(letters: string, file: string, cwd: string): string {
  const path = letters.includes('f') ? resolve(cwd, file) : file;
  const has = (letter: string): boolean => letters.includes(letter);
  const slash = path.lastIndexOf('/');
  const folder = slash < 0 ? '' : path.slice(0, slash + 1);
  const extension = extname(path);
  let result = '';
  if (has('p')) result += folder;
  else if (has('d')) result += folder === '' ? '' : `${basename(folder)}/`;
  if (has('b') && !has('n') && !has('x')) result = result.replace(/\/$/, '');
  if (has('n')) result += basename(path, extension);
  if (has('x')) result += has('b') && !has('n') ? extension.slice(1) : extension;
  if (!/[pdnx]/.test(letters)) result = path;
  if (has('w')) result = result.replaceAll('/', '\\');
  if (has('u')) result = result.replaceAll('\\', '/');
  if (has('q')) return has('a') ? `'${result}'` : `"${result}"`;
  return result;
}
