/** Splits the text of a submit file into statements. */
import { SubmitError, type SourcePosition } from './errors.js';

/** A logical line of a submit file: a line joined with its continuation lines. */
export interface Statement {
  readonly text: string;
  readonly position: SourcePosition;
}

/** Reads statements sequentially. The caller can consume the raw lines that follow if they belong to the statement. */
export class LineReader {
  private nextIndex = 0;
  private readonly lines: string[];

  constructor(
    text: string,
    readonly fileName: string,
  ) {
    this.lines = text.split(/\r?\n/);
  }

  /** Returns the next statement, skipping comments and empty lines; null at the end of the file. */
  nextStatement(): Statement | null {
    while (this.nextIndex < this.lines.length) {
      const position = { file: this.fileName, line: this.nextIndex + 1 };
      let text = this.lines[this.nextIndex++];
      if (text.trim() === '' || text.trimStart().startsWith('#')) continue;
      while (/\\\s*$/.test(text)) {
        const before = text.replace(/\\\s*$/, '');
        // Comments between continuation lines are skipped.
        while (this.lines[this.nextIndex]?.trimStart().startsWith('#')) this.nextIndex++;
        const continuation = this.lines[this.nextIndex++] ?? '';
        // Any white space at the point where two lines are joined becomes one space.
        const separator = /\s$/.test(before) || /^\s/.test(continuation) ? ' ' : '';
        text = before.trimEnd() + separator + continuation.trimStart();
      }
      return { text: text.trim(), position };
    }
    return null;
  }

  /** Reads raw lines up to the line that satisfies `isEnd`, which is consumed. Throws `message` if there is no such line. */
  readUntil(isEnd: (line: string) => boolean, position: SourcePosition, message: string): string {
    const lines: string[] = [];
    while (this.nextIndex < this.lines.length) {
      const line = this.lines[this.nextIndex++];
      if (isEnd(line)) return lines.join('\n');
      lines.push(line);
    }
    throw new SubmitError(position, message);
  }
}
