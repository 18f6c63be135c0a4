/** The macros of a submit file: assignment and expansion of references. */
import { SubmitError, type SourcePosition, type Warnings } from './errors.js';
import { callMacroFunction } from './macro-functions.js';
import type { SubmitEnvironment } from './submit-environment.js';

/** A macro that the submit file sets. */
export interface Macro {
  readonly name: string;
  /** The value before macro expansion. */
  readonly value: string;
  readonly position: SourcePosition;
}

/** The macros whose values vary from job to job, by name in lower case. */
export type PerJobValues = ReadonlyMap<string, string>;

const noPerJobValues: PerJobValues = new Map();
/** Maximum length of an expanded text, characters: macros that refer to each other can grow a text exponentially. */
const maxExpandedChars = 1024 * 1024;
/** Maximum depth of macros that refer to other macros. */
const maxNesting = 50;
const namePattern = /^[A-Za-z_][\w.]*$/;

/** The macros that are set at the current point of a submit file. */
export class Macros {
  private macros = new Map<string, Macro>();
  /** The names that references mention, in lower case. */
  readonly referencedNames = new Set<string>();
  /** Whether the result of the last expansion varies from job to job: it used such a value or a random function. */
  dependsOnJob = false;

  constructor(
    private readonly environment: SubmitEnvironment,
    private readonly warnings: Warnings,
    private readonly predefined: ReadonlyMap<string, string>,
  ) {}

  /** Returns a copy that later assignments do not affect. */
  snapshot(): Macros {
    const copy = new Macros(this.environment, this.warnings, this.predefined);
    copy.macros = new Map(this.macros);
    for (const name of this.referencedNames) copy.referencedNames.add(name);
    return copy;
  }

  /** Returns a macro by name, in any case; undefined if it is not set. */
  get(name: string): Macro | undefined {
    return this.macros.get(name.toLowerCase());
  }

  /** All macros, in the order in which they were first set. */
  get all(): Iterable<Macro> {
    return this.macros.values();
  }

  /** Sets a macro. References to the macro itself are replaced by its previous value immediately. */
  assign(name: string, value: string, position: SourcePosition): void {
    const key = name.toLowerCase();
    const previous = this.macros.get(key);
    const selfReference = new RegExp(`\\$\\(\\s*${key.replaceAll('.', '\\.')}\\s*(?::([^()]*))?\\)`, 'gi');
    const text = value.replace(selfReference, (_, fallback: string | undefined) => {
      if (previous) return previous.value;
      if (fallback !== undefined) return fallback;
      throw new SubmitError(position, `${name}: refers to itself, and had no value before`);
    });
    this.macros.set(key, { name, value: text, position });
  }

  /** Expands all macro references and function calls in a text. */
  expand(text: string, position: SourcePosition, perJob: PerJobValues = noPerJobValues): string {
    this.dependsOnJob = false;
    return text.includes('$') ? this.expandReferences(text, position, perJob, []) : text;
  }

  private expandReferences(
    text: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    let expanded = '';
    for (let i = 0; i < text.length;) {
      const dollar = text.indexOf('$', i);
      if (dollar < 0) return expanded + text.slice(i);
      expanded += text.slice(i, dollar);
      if (text.startsWith('$$(', dollar))
        throw new SubmitError(position, `$$(): substitution from the matched machine is not supported`);
      const open = /^\$([A-Za-z_]*)\(/.exec(text.slice(dollar, dollar + 40));
      if (!open) {
        expanded += '$';
        i = dollar + 1;
        continue;
      }
      const from = dollar + open[0].length;
      const to = closingParenthesis(text, from);
      if (to < 0) throw new SubmitError(position, `${text.slice(dollar, dollar + 20)}: bracket not closed`);
      const body = text.slice(from, to);
      const inner = body.includes('$') ? this.expandReferences(body, position, perJob, stack) : body;
      expanded +=
        open[1] === ''
          ? this.valueOf(inner, position, perJob, stack)
          : this.callFunction(open[1], inner, position, perJob, stack);
      if (expanded.length > maxExpandedChars)
        throw new SubmitError(position, `expands to more than ${maxExpandedChars} characters`);
      i = to + 1;
    }
    return expanded;
  }

  private valueOf(
    body: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    const colon = body.indexOf(':');
    const name = (colon < 0 ? body : body.slice(0, colon)).trim();
    if (!namePattern.test(name)) throw new SubmitError(position, `$(${body}): not a name`);
    const found = this.lookup(name, position, perJob, stack);
    if (found !== null) return found;
    if (colon >= 0) return body.slice(colon + 1);
    this.warnings.add(position, `$(${name}) has no value: treated as empty`);
    return '';
  }

  /** Returns the expanded value of a macro; null if it is not set. */
  private lookup(
    name: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string | null {
    const key = name.toLowerCase();
    this.referencedNames.add(key);
    if (key === 'dollar') return '$';
    if (stack.includes(key))
      throw new SubmitError(position, `${[...stack, key].join(' -> ')}: refers to itself`);
    if (stack.length >= maxNesting)
      throw new SubmitError(position, `${name}: macros are nested more than ${maxNesting} levels deep`);
    const perJobValue = perJob.get(key);
    if (perJobValue !== undefined) {
      this.dependsOnJob = true;
      return perJobValue.includes('$')
        ? this.expandReferences(perJobValue, position, perJob, [...stack, key])
        : perJobValue;
    }
    const macro = this.macros.get(key);
    if (macro)
      return macro.value.includes('$')
        ? this.expandReferences(macro.value, macro.position, perJob, [...stack, key])
        : macro.value;
    return this.predefined.get(key) ?? null;
  }

  private callFunction(
    name: string,
    body: string,
    position: SourcePosition,
    perJob: PerJobValues,
    stack: readonly string[],
  ): string {
    const resolveArgument = (argument: string): string =>
      namePattern.test(argument) ? (this.lookup(argument, position, perJob, stack) ?? argument) : argument;
    const result = callMacroFunction(name, body, {
      position,
      environment: this.environment,
      resolve: resolveArgument,
    });
    if (result.random) this.dependsOnJob = true;
    return result.text;
  }
}

/** Returns the index of the parenthesis that closes the one before `from`; -1 if there is none. */
export function closingParenthesis(text: string, from: number): number {
  let depth = 1;
  for (let i = from; i < text.length; i++)
    if (text[i] === '(') depth++;
    else if (text[i] === ')' && --depth === 0) return i;
  return -1;
}
