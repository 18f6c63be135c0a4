/** Splits submit files into statements. */
import { SubmitError, type SourcePosition } from './errors.js';

/** A logical line: a line of a submit file with its continuation lines. */
export interface Statement {
  readonly text: string;
  readonly position: SourcePosition;
}

/** LineReader one after the other; whoever reads a statement may take those that belong to it. */
export class LineReader {
  private nextIndex = 0;
  private readonly lines: string[];

  constructor(
    text: string,
    readonly fileName: string,
  ) {
    this.lines = text.split(/\r?\n/);
  }

  /** The next statement, without comments and empty lines; null at the end of the file. */
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
        // Any amount of white space where two lines are joined counts as one space.
        const separator = /\s$/.test(before) || /^\s/.test(continuation) ? ' ' : '';
        text = before.trimEnd() + separator + continuation.trimStart();
      }
      return { text: text.trim(), position };
    }
    return null;
  }

  /** The raw lines before the line that satisfies `isEnd`; throws `message` if there is none. */
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
