import { incarnationOf, tokenBase } from './incarnation.js';

export interface KeyRevision {
  key: string;
  stamp: number;
}

interface RevisionSighting {
  at: number;
  epoch: number;
}

/** So many moments are remembered at which a later revision became known. */
const maxObservations = 256;

/**
 * Tells a loss from a delay, a lagging answer, an expired lease and a legal deletion: all of these can be explained by changes
 * that are still to come, a loss cannot. What is said here is final; it holds however late an answer is.
 */
export class DataLossDetector {
  private readonly sightings: RevisionSighting[] = [];
  private readonly failedConditions: { key: string; stamp: number; epoch: number }[] = [];
  private readonly peerReports: { inc: number; epoch: number; jobs: number; at: number }[] = [];
  private reportedTokens: { token: number; n: number; at: number }[] = [];

  /** The state service has been at this revision: by its changes, or by the answer to a commit. */
  revisionReached(epoch: number, now: number): void {
    const last = this.sightings.at(-1);
    if (last && last.epoch >= epoch) return;
    this.sightings.push({ at: now, epoch });
    if (this.sightings.length > maxObservations) this.sightings.shift();
  }

  /** The revision read by a request that was sent at `sentAt`. It cannot be below one that was known then. */
  revisionRead(sentAt: number, epoch: number, incarnation = 1): string | null {
    let before = -1;
    for (const k of this.sightings) if (k.at < sentAt) before = Math.max(before, k.epoch);
    if (epoch < before) return `revision ${epoch} after ${before}`;
    // What was seen of an incarnation that is over says nothing of this one.
    this.reportedTokens = this.reportedTokens.filter((t) => t.n === incarnation);
    return this.checkTokens(sentAt, epoch);
  }

  /** A condition of ours failed at `epoch`: what followed up to there must explain it. */
  conditionFailed(key: string, stamp: number, epoch: number): void {
    if (this.failedConditions.length < maxObservations) this.failedConditions.push({ key, stamp, epoch });
  }

  /** Looks at what failed. `modRevisionOf`: as followed up to `epoch`. */
  checkFailedConditions(epoch: number, stampOf: (key: string) => number): string | null {
    for (let i = this.failedConditions.length - 1; i >= 0; i--) {
      const d = this.failedConditions[i];
      if (d.epoch > epoch) continue;
      this.failedConditions.splice(i, 1);
      if (stampOf(d.key) === d.stamp) return `${d.key} is not at ${d.stamp}, and no change says so`;
    }
    return null;
  }

  /** Another controller follows this incarnation, up to this revision, and knows so many jobs, of which none is ever removed. */
  peerReported(incarnation: number, epoch: number, jobs: number, now: number): void {
    if (this.peerReports.length < maxObservations)
      this.peerReports.push({ inc: incarnation, epoch, jobs, at: now });
  }

  /** A reading sent at `sentAt` gave this revision; what was followed up to there names this incarnation (0: none), and so many jobs. */
  checkPeers(
    sentAt: number,
    epoch: number,
    incarnation: number,
    jobs: number,
    isComplete: boolean,
  ): string | null {
    for (let i = this.peerReports.length - 1; i >= 0; i--) {
      const p = this.peerReports[i];
      if (p.at >= sentAt) continue;
      this.peerReports.splice(i, 1);
      if (p.inc > incarnation)
        return `another controller follows incarnation ${p.inc}, here it is ${incarnation}`;
      if (p.inc === incarnation && p.epoch > epoch)
        return `another controller has seen revision ${p.epoch}, now it is ${epoch}`;
      // Until all is brought back, others know more.
      if (isComplete && p.inc === incarnation && p.jobs > jobs)
        return `another controller knows ${p.jobs} jobs, here are ${jobs}`;
    }
    return null;
  }

  /** A worker has seen this token. */
  tokenReported(token: number, incarnation: number, now: number): string | null {
    if (incarnationOf(token) > incarnation) return `a worker has seen token ${token}, of a later incarnation`;
    // Tokens are revisions: one above what is there is of a state that was lost.
    if (this.reportedTokens.length < maxObservations)
      this.reportedTokens.push({ token: token - tokenBase(incarnation), n: incarnation, at: now });
    return null;
  }

  private checkTokens(sentAt: number, epoch: number): string | null {
    for (let i = this.reportedTokens.length - 1; i >= 0; i--) {
      const t = this.reportedTokens[i];
      if (t.at >= sentAt) continue;
      this.reportedTokens.splice(i, 1);
      if (t.token > epoch) return `a worker has seen revision ${t.token}, now it is ${epoch}`;
    }
    return null;
  }
}

/**
 * Compares one page of the service with what was followed up to the page's revision at least: keys from behind `from` to `to`
 * (null: to the end), whose stamps are not above that revision. What differs was lost.
 */
export function comparePage(
  page: { items: readonly KeyRevision[]; from: string; to: string | null; epoch: number },
  followed: Iterable<KeyRevision>,
): string | null {
  const there = new Map(page.items.map((i) => [i.key, i.stamp]));
  for (const { key, stamp } of followed) {
    if (key <= page.from || (page.to !== null && key > page.to) || stamp > page.epoch) continue;
    const s = there.get(key);
    if (s === undefined) return `${key} is gone, and no change says so`;
    if (s < stamp) return `${key} is at ${s} after ${stamp}`;
  }
  return null;
}
