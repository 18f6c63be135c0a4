/** Distinguishes a loss of data in the state service from delays and other conditions that can look like one. */
import { incarnationOf, tokenBase } from './incarnation.js';

/** A key, and the revision of its current value. */
export interface KeyRevision {
  readonly key: string;
  readonly stamp: number;
}

/** A revision that the state service was known to have reached at some time. */
interface ObservedRevision {
  readonly at: number;
  readonly revision: number;
}

/** A condition of an own commit that failed. */
interface FailedCondition extends KeyRevision {
  /** The revision at which it failed. */
  readonly revision: number;
}

/** What another controller reported of the state that it follows. */
interface PeerReport {
  readonly incarnation: number;
  readonly revision: number;
  readonly jobCount: number;
  readonly at: number;
}

/** A fencing token that a worker reported. */
interface ReportedToken {
  /** The revision from which the token was derived. */
  readonly revision: number;
  readonly incarnation: number;
  readonly at: number;
}

/** The most entries of evidence that are kept of each kind. */
const maxEvidenceEntries = 256;

/**
 * Collects observations of the state and detects contradictions that only a loss of data explains. A delay, a late response, an
 * expired lease and a regular deletion can all be explained by changes that have yet to arrive; a loss cannot. A verdict is
 * therefore final: it holds however late a response is. Methods that evaluate evidence return the reason for a verdict of loss,
 * or null.
 */
export class DataLossDetector {
  private readonly observedRevisions: ObservedRevision[] = [];
  private readonly failedConditions: FailedCondition[] = [];
  private readonly peerReports: PeerReport[] = [];
  private reportedTokens: ReportedToken[] = [];

  /** Records that the state service has reached this revision, according to its change stream or the response to a commit. */
  revisionReached(revision: number, now: number): void {
    const last = this.observedRevisions.at(-1);
    if (last && last.revision >= revision) return;
    this.observedRevisions.push({ at: now, revision });
    if (this.observedRevisions.length > maxEvidenceEntries) this.observedRevisions.shift();
  }

  /** Evaluates a revision read by a request sent at `sentAt`. It cannot be lower than a revision known at that time. */
  revisionRead(sentAt: number, revision: number, incarnation = 1): string | null {
    let knownBefore = -1;
    for (const s of this.observedRevisions)
      if (s.at < sentAt) knownBefore = Math.max(knownBefore, s.revision);
    if (revision < knownBefore) return `read revision ${revision} after ${knownBefore} had been observed`;
    // Tokens of an earlier incarnation say nothing about this one.
    this.reportedTokens = this.reportedTokens.filter((t) => t.incarnation === incarnation);
    return this.checkTokens(sentAt, revision);
  }

  /** Records that the condition that the key is at `stamp` failed at `revision`; the changes up to there must explain it. */
  conditionFailed(key: string, stamp: number, revision: number): void {
    if (this.failedConditions.length < maxEvidenceEntries)
      this.failedConditions.push({ key, stamp, revision });
  }

  /** Evaluates failed conditions; `modRevisionOf` returns the revision of a key according to the changes up to `revision`. */
  checkFailedConditions(revision: number, modRevisionOf: (key: string) => number): string | null {
    for (let i = this.failedConditions.length - 1; i >= 0; i--) {
      const failed = this.failedConditions[i];
      if (failed.revision > revision) continue;
      this.failedConditions.splice(i, 1);
      if (modRevisionOf(failed.key) === failed.stamp)
        return `${failed.key} is not at ${failed.stamp}, and no received change explains it`;
    }
    return null;
  }

  /** Records that another controller follows this incarnation up to this revision, and knows this many jobs. Jobs are never removed. */
  peerReported(incarnation: number, revision: number, jobCount: number, now: number): void {
    if (this.peerReports.length < maxEvidenceEntries)
      this.peerReports.push({ incarnation, revision, jobCount, at: now });
  }

  /**
   * Evaluates what peers reported before `sentAt`, when a request was sent that read `revision`. `incarnation` (0: none) and
   * `jobCount` are those of the replica at that revision; `isComplete`: all known records have been restored in this incarnation.
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
        return `another controller follows incarnation ${report.incarnation}, this one follows ${incarnation}`;
      if (report.incarnation < incarnation) continue;
      if (report.revision > revision)
        return `another controller has seen revision ${report.revision}, but the state is at revision ${revision}`;
      // Until all records have been restored, other controllers may know of more jobs.
      if (isComplete && report.jobCount > jobCount)
        return `another controller knows ${report.jobCount} jobs, this one knows ${jobCount}`;
    }
    return null;
  }

  /** Evaluates a fencing token that a worker has seen. */
  tokenReported(token: number, incarnation: number, now: number): string | null {
    if (incarnationOf(token) > incarnation)
      return `a worker has seen fencing token ${token}, which is of a later incarnation`;
    if (this.reportedTokens.length < maxEvidenceEntries)
      this.reportedTokens.push({ revision: token - tokenBase(incarnation), incarnation, at: now });
    return null;
  }

  /** Evaluates reported tokens. Tokens are derived from revisions, so one above the current revision comes from a lost state. */
  private checkTokens(sentAt: number, revision: number): string | null {
    for (let i = this.reportedTokens.length - 1; i >= 0; i--) {
      const token = this.reportedTokens[i];
      if (token.at >= sentAt) continue;
      this.reportedTokens.splice(i, 1);
      if (token.revision > revision)
        return `a worker has seen revision ${token.revision}, but the state is at revision ${revision}`;
    }
    return null;
  }
}

/** A page of keys of the state service, read at one revision. */
export interface KeyPage {
  /** The page covers the keys after this one, exclusive. */
  readonly from: string;
  /** The last key that the page covers, inclusive; null: it covers all that follow. */
  readonly to: string | null;
  readonly items: readonly KeyRevision[];
  readonly revision: number;
}

/**
 * Compares a page with the keys of a replica that has followed the state at least up to the page's revision. A key that is
 * missing from the page, or older in it, was lost; keys that changed after the page was read are ignored. Returns the reason for
 * a verdict of loss, or null.
 */
export function comparePage(page: KeyPage, followed: Iterable<KeyRevision>): string | null {
  const stampsInPage = new Map(page.items.map((i) => [i.key, i.stamp]));
  for (const { key, stamp } of followed) {
    if (key <= page.from || (page.to !== null && key > page.to) || stamp > page.revision) continue;
    const stampInPage = stampsInPage.get(key);
    if (stampInPage === undefined) return `${key} is gone, and no received change explains it`;
    if (stampInPage < stamp) return `${key} is at ${stampInPage} after ${stamp} had been observed`;
  }
  return null;
}
