import { SubmitError, type SourcePosition } from './errors.js';

/** A line of a submit file with what continues it. */
export interface Statement {
  text: string;
  position: SourcePosition;
}

/** LineReader one after the other; whoever reads a statement may take those that belong to it. */
export class LineReader {
  private next = 0;
  private readonly lines: string[];

  constructor(
    text: string,
    readonly file: string,
  ) {
    this.lines = text.split(/\r?\n/);
  }

  /** The next statement; comments and empty lines are left out. null: none is left. */
  nextStatement(): Statement | null {
    while (this.next < this.lines.length) {
      const position = { file: this.file, line: this.next + 1 };
      let text = this.lines[this.next++];
      if (text.trim() === '' || text.trimStart().startsWith('#')) continue;
      while (/\\\s*$/.test(text)) {
        const before = text.replace(/\\\s*$/, '');
        // A comment among continued lines is left out.
        while (this.lines[this.next]?.trimStart().startsWith('#')) this.next++;
        const continuation = this.lines[this.next++] ?? '';
        // However much space stands where they meet, it is one.
        const separator = /\s$/.test(before) || /^\s/.test(continuation) ? ' ' : '';
        text = before.trimEnd() + separator + continuation.trimStart();
      }
      return { text: text.trim(), position };
    }
    return null;
  }

  /** What stands before a line that ends it; the lines as they are. */
  readUntil(isEnd: (line: string) => boolean, position: SourcePosition, message: string): string {
    const taken: string[] = [];
    while (this.next < this.lines.length) {
      const line = this.lines[this.next++];
      if (isEnd(line)) return taken.join('\n');
      taken.push(line);
    }
    throw new SubmitError(position, message);
  }
}
