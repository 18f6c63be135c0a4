import { SubmitError, type Place } from './errors.js';

/** A line of a submit file with what continues it. */
export interface Line {
  text: string;
  at: Place;
}

/** Lines one after the other; whoever reads a statement may take those that belong to it. */
export class Lines {
  private next = 0;
  private readonly raw: string[];

  constructor(
    text: string,
    readonly file: string,
  ) {
    this.raw = text.split(/\r?\n/);
  }

  /** The next statement; comments and empty lines are left out. null: none is left. */
  statement(): Line | null {
    while (this.next < this.raw.length) {
      const at = { file: this.file, line: this.next + 1 };
      let text = this.raw[this.next++];
      if (text.trim() === '' || text.trimStart().startsWith('#')) continue;
      while (/\\\s*$/.test(text)) {
        const before = text.replace(/\\\s*$/, '');
        // A comment among continued lines is left out.
        while (this.raw[this.next]?.trimStart().startsWith('#')) this.next++;
        const more = this.raw[this.next++] ?? '';
        // However much space stands where they meet, it is one.
        const apart = /\s$/.test(before) || /^\s/.test(more) ? ' ' : '';
        text = before.trimEnd() + apart + more.trimStart();
      }
      return { text: text.trim(), at };
    }
    return null;
  }

  /** What stands before a line that ends it; the lines as they are. */
  until(ends: (line: string) => boolean, at: Place, what: string): string {
    const taken: string[] = [];
    while (this.next < this.raw.length) {
      const line = this.raw[this.next++];
      if (ends(line)) return taken.join('\n');
      taken.push(line);
    }
    throw new SubmitError(at, what);
  }
}
