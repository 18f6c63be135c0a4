import { incarnationOf, tokenBase } from './incarnation.js';

export interface Item {
  key: string;
  stamp: number;
}

interface Known {
  at: number;
  epoch: number;
}

/** So many moments are remembered at which a later revision became known. */
const mostKnown = 256;

/**
 * Tells a loss from a delay, a lagging answer, an expired lease and a legal deletion: all of these can be explained by changes
 * that are still to come, a loss cannot. What is said here is final; it holds however late an answer is.
 */
export class Witness {
  private readonly known: Known[] = [];
  private readonly doubts: { key: string; stamp: number; epoch: number }[] = [];
  private readonly peers: { inc: number; epoch: number; jobs: number; at: number }[] = [];
  private tokens: { token: number; n: number; at: number }[] = [];

  /** The state service has been at this revision: by its changes, or by the answer to a commit. */
  reached(epoch: number, now: number): void {
    const last = this.known.at(-1);
    if (last && last.epoch >= epoch) return;
    this.known.push({ at: now, epoch });
    if (this.known.length > mostKnown) this.known.shift();
  }

  /** The revision read by a request that was sent at `sentAt`. It cannot be below one that was known then. */
  read(sentAt: number, epoch: number, n = 1): string | null {
    let before = -1;
    for (const k of this.known) if (k.at < sentAt) before = Math.max(before, k.epoch);
    if (epoch < before) return `revision ${epoch} after ${before}`;
    // What was seen of an incarnation that is over says nothing of this one.
    this.tokens = this.tokens.filter((t) => t.n === n);
    return this.readToken(sentAt, epoch);
  }

  /** A condition of ours failed at `epoch`: what followed up to there must explain it. */
  failed(key: string, stamp: number, epoch: number): void {
    if (this.doubts.length < mostKnown) this.doubts.push({ key, stamp, epoch });
  }

  /** Looks at what failed. `stampOf`: as followed up to `epoch`. */
  settle(epoch: number, stampOf: (key: string) => number): string | null {
    for (let i = this.doubts.length - 1; i >= 0; i--) {
      const d = this.doubts[i];
      if (d.epoch > epoch) continue;
      this.doubts.splice(i, 1);
      if (stampOf(d.key) === d.stamp) return `${d.key} is not at ${d.stamp}, and no change says so`;
    }
    return null;
  }

  /** Another controller follows this incarnation, up to this revision, and knows so many jobs, of which none is ever removed. */
  peer(inc: number, epoch: number, jobs: number, now: number): void {
    if (this.peers.length < mostKnown) this.peers.push({ inc, epoch, jobs, at: now });
  }

  /** A reading sent at `sentAt` gave this revision; what was followed up to there names this incarnation (0: none), and so many jobs. */
  agrees(sentAt: number, epoch: number, inc: number, jobs: number, whole: boolean): string | null {
    for (let i = this.peers.length - 1; i >= 0; i--) {
      const p = this.peers[i];
      if (p.at >= sentAt) continue;
      this.peers.splice(i, 1);
      if (p.inc > inc) return `another controller follows incarnation ${p.inc}, here it is ${inc}`;
      if (p.inc === inc && p.epoch > epoch)
        return `another controller has seen revision ${p.epoch}, now it is ${epoch}`;
      // Until all is brought back, others know more.
      if (whole && p.inc === inc && p.jobs > jobs)
        return `another controller knows ${p.jobs} jobs, here are ${jobs}`;
    }
    return null;
  }

  /** A worker has seen this token. */
  token(token: number, n: number, now: number): string | null {
    if (incarnationOf(token) > n) return `a worker has seen token ${token}, of a later incarnation`;
    // Tokens are revisions: one above what is there is of a state that was lost.
    if (this.tokens.length < mostKnown) this.tokens.push({ token: token - tokenBase(n), n, at: now });
    return null;
  }

  private readToken(sentAt: number, epoch: number): string | null {
    for (let i = this.tokens.length - 1; i >= 0; i--) {
      const t = this.tokens[i];
      if (t.at >= sentAt) continue;
      this.tokens.splice(i, 1);
      if (t.token > epoch) return `a worker has seen revision ${t.token}, now it is ${epoch}`;
    }
    return null;
  }
}

/**
 * Compares one page of the service with what was followed up to the page's revision at least: keys from behind `from` to `to`
 * (null: to the end), whose stamps are not above that revision. What differs was lost.
 */
export function audit(
  page: { items: readonly Item[]; from: string; to: string | null; epoch: number },
  mine: Iterable<Item>,
): string | null {
  const there = new Map(page.items.map((i) => [i.key, i.stamp]));
  for (const { key, stamp } of mine) {
    if (key <= page.from || (page.to !== null && key > page.to) || stamp > page.epoch) continue;
    const s = there.get(key);
    if (s === undefined) return `${key} is gone, and no change says so`;
    if (s < stamp) return `${key} is at ${s} after ${stamp}`;
  }
  return null;
}
