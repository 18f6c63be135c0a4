/** Where something stands: a file as it was named, and a line, from 1. */
export interface SourcePosition {
  file: string;
  line: number;
}

/** What is wrong with a submit file, in the form that editors understand. */
export class SubmitError extends Error {
  constructor(
    readonly position: SourcePosition,
    readonly reason: string,
  ) {
    super(`${position.file}:${position.line}: ${reason}`);
  }
}

/** Things that are worth a word, each once. */
export class Warnings {
  private readonly messages = new Set<string>();

  add(position: SourcePosition, text: string): void {
    this.messages.add(`${position.file}:${position.line}: warning: ${text}`);
  }

  get all(): string[] {
    return [...this.messages];
  }
}
