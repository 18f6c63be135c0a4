/** Tells a loss of data in the state service from everything else that may look like one. */
import { incarnationOf, tokenBase } from './incarnation.js';

/** A key, and the revision of its present value. */
export interface KeyRevision {
  readonly key: string;
  readonly stamp: number;
}

interface RevisionSighting {
  readonly at: number;
  readonly revision: number;
}

interface FailedCondition extends KeyRevision {
  /** The revision at which it failed. */
  readonly revision: number;
}

interface PeerReport {
  readonly incarnation: number;
  readonly revision: number;
  readonly jobCount: number;
  readonly at: number;
}

interface ReportedToken {
  /** The revision that the token was made from. */
  readonly revision: number;
  readonly incarnation: number;
  readonly at: number;
}

/** How much evidence of one sort is kept. */
const maxObservations = 256;

/**
 * A delay, a lagging answer, an expired lease and a legal deletion can be explained by changes that are still to come, a loss
 * cannot. So a verdict is final: it holds however late an answer is. Methods that evaluate evidence return the reason for a
 * verdict of loss, or null.
 */
export class DataLossDetector {
  private readonly sightings: RevisionSighting[] = [];
  private readonly failedConditions: FailedCondition[] = [];
  private readonly peerReports: PeerReport[] = [];
  private reportedTokens: ReportedToken[] = [];

  /** The state service has been at this revision, by its changes or by the answer to a commit. */
  revisionReached(revision: number, now: number): void {
    const last = this.sightings.at(-1);
    if (last && last.revision >= revision) return;
    this.sightings.push({ at: now, revision });
    if (this.sightings.length > maxObservations) this.sightings.shift();
  }

  /** A request that was sent at `sentAt` read this revision. It cannot be below one that was known then. */
  revisionRead(sentAt: number, revision: number, incarnation = 1): string | null {
    let knownBefore = -1;
    for (const s of this.sightings) if (s.at < sentAt) knownBefore = Math.max(knownBefore, s.revision);
    if (revision < knownBefore) return `revision ${revision} after ${knownBefore}`;
    // Tokens of an incarnation that is over say nothing of this one.
    this.reportedTokens = this.reportedTokens.filter((t) => t.incarnation === incarnation);
    return this.checkTokens(sentAt, revision);
  }

  /** A condition that the key is at `stamp` failed at `revision`: the changes up to there must explain it. */
  conditionFailed(key: string, stamp: number, revision: number): void {
    if (this.failedConditions.length < maxObservations) this.failedConditions.push({ key, stamp, revision });
  }

  /** Evaluates failed conditions; `modRevisionOf` gives keys' revisions as followed up to `revision`. */
  checkFailedConditions(revision: number, modRevisionOf: (key: string) => number): string | null {
    for (let i = this.failedConditions.length - 1; i >= 0; i--) {
      const failed = this.failedConditions[i];
      if (failed.revision > revision) continue;
      this.failedConditions.splice(i, 1);
      if (modRevisionOf(failed.key) === failed.stamp)
        return `${failed.key} is not at ${failed.stamp}, and no change says so`;
    }
    return null;
  }

  /** Another controller follows this incarnation up to this revision, and knows so many jobs, which are never removed. */
  peerReported(incarnation: number, revision: number, jobCount: number, now: number): void {
    if (this.peerReports.length < maxObservations)
      this.peerReports.push({ incarnation, revision, jobCount, at: now });
  }

  /**
   * Evaluates what peers reported before `sentAt`, when a request was sent that read `revision`; what was followed up to there
   * names this incarnation (0: none) and so many jobs. `isComplete`: everything known has been restored in this incarnation.
   */
  checkPeers(
    sentAt: number,
    revision: number,
    incarnation: number,
    jobCount: number,
    isComplete: boolean,
  ): string | null {
    for (let i = this.peerReports.length - 1; i >= 0; i--) {
      const report = this.peerReports[i];
      if (report.at >= sentAt) continue;
      this.peerReports.splice(i, 1);
      if (report.incarnation > incarnation)
        return `another controller follows incarnation ${report.incarnation}, here it is ${incarnation}`;
      if (report.incarnation < incarnation) continue;
      if (report.revision > revision)
        return `another controller has seen revision ${report.revision}, now it is ${revision}`;
      // Until everything is restored, other controllers know more.
      if (isComplete && report.jobCount > jobCount)
        return `another controller knows ${report.jobCount} jobs, here are ${jobCount}`;
    }
    return null;
  }

  /** A worker has seen this fencing token. */
  tokenReported(token: number, incarnation: number, now: number): string | null {
    if (incarnationOf(token) > incarnation) return `a worker has seen token ${token}, of a later incarnation`;
    if (this.reportedTokens.length < maxObservations)
      this.reportedTokens.push({ revision: token - tokenBase(incarnation), incarnation, at: now });
    return null;
  }

  /** Tokens are made from revisions: one above the present revision comes from a state that was lost. */
  private checkTokens(sentAt: number, revision: number): string | null {
    for (let i = this.reportedTokens.length - 1; i >= 0; i--) {
      const token = this.reportedTokens[i];
      if (token.at >= sentAt) continue;
      this.reportedTokens.splice(i, 1);
      if (token.revision > revision)
        return `a worker has seen revision ${token.revision}, now it is ${revision}`;
    }
    return null;
  }
}

/** Keys of the state service, read at one revision. */
export interface KeyPage {
  /** The page covers the keys behind this one ... */
  readonly from: string;
  /** ... up to this one; null: all that follow. */
  readonly to: string | null;
  readonly items: readonly KeyRevision[];
  readonly revision: number;
}

/**
 * Compares a page with the keys as they were followed up to the page's revision at least. A key that is missing in the page or
 * older there was lost; keys that changed after the page was read are left out.
 */
export function comparePage(page: KeyPage, followed: Iterable<KeyRevision>): string | null {
  const stampsInPage = new Map(page.items.map((i) => [i.key, i.stamp]));
  for (const { key, stamp } of followed) {
    if (key <= page.from || (page.to !== null && key > page.to) || stamp > page.revision) continue;
    const stampInPage = stampsInPage.get(key);
    if (stampInPage === undefined) return `${key} is gone, and no change says so`;
    if (stampInPage < stamp) return `${key} is at ${stampInPage} after ${stamp}`;
  }
  return null;
}
