/** Errors and warnings that refer to a position in a submit file. */

/** A position in a submit file: the file name as given by the user, and the line number, from 1. */
export interface SourcePosition {
  readonly file: string;
  readonly line: number;
}

/** An error in a submit file. The message has the form `file:line: reason`, which editors recognize. */
export class SubmitError extends Error {
  constructor(
    readonly position: SourcePosition,
    readonly reason: string,
  ) {
    super(`${position.file}:${position.line}: ${reason}`);
    this.name = 'SubmitError';
  }
}

/** A syntax error in the arguments or the environment of a job. The caller adds the position. */
export class QuotingError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'QuotingError';
  }
}

/** Collects warnings without duplicates. */
export class Warnings {
  private readonly messages = new Set<string>();

  /** Adds a warning that refers to a position. */
  add(position: SourcePosition, text: string): void {
    this.messages.add(`${position.file}:${position.line}: warning: ${text}`);
  }

  /** All warnings, in the order in which they were first added. */
  get all(): string[] {
    return [...this.messages];
  }
}
