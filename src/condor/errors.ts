/** Where something stands: a file as it was named, and a line, from 1. */
export interface Place {
  file: string;
  line: number;
}

/** What is wrong with a submit file, in the form that editors understand. */
export class SubmitError extends Error {
  constructor(
    readonly at: Place,
    readonly what: string,
  ) {
    super(`${at.file}:${at.line}: ${what}`);
  }
}

/** Things that are worth a word, each once. */
export class Warnings {
  private readonly said = new Set<string>();

  add(at: Place, what: string): void {
    this.said.add(`${at.file}:${at.line}: warning: ${what}`);
  }

  get all(): string[] {
    return [...this.said];
  }
}
