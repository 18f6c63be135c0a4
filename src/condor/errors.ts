/** Errors and warnings about submit files, with their positions. */

/** A position in a submit file: the file as it was named, and a line, from 1. */
export interface SourcePosition {
  readonly file: string;
  readonly line: number;
}

/** A mistake in a submit file. Its message has the form that editors understand: file, line, reason. */
export class SubmitError extends Error {
  constructor(
    readonly position: SourcePosition,
    readonly reason: string,
  ) {
    super(`${position.file}:${position.line}: ${reason}`);
    this.name = 'SubmitError';
  }
}

/** Malformed arguments, or a malformed environment, of a command. The caller knows their position. */
export class QuotingError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'QuotingError';
  }
}

/** Collects warnings, each once. */
export class Warnings {
  private readonly messages = new Set<string>();

  /** Adds a warning about a position. */
  add(position: SourcePosition, text: string): void {
    this.messages.add(`${position.file}:${position.line}: warning: ${text}`);
  }

  /** All warnings, in the order in which they first occurred. */
  get all(): string[] {
    return [...this.messages];
  }
}
