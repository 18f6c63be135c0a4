/** Freshness quorum: every peer confirms that a replica lacks no change that the peer knows. */

/** Query to the peers for the changes that they know above a revision. */
export interface FreshnessQuery {
  /** The process that sends the query. */
  readonly instanceId: string;
  readonly nonce: number;
  readonly revision: number;
  /** The incarnation of the state that the sender follows; 0: none. Changes of other incarnations prove nothing. */
  readonly incarnation: number;
}

interface PeerProcess {
  readonly instanceId: string;
  /** When the first message from the process arrived, ms. */
  readonly firstHeardAt: number;
  /** Nonce of the newest query from this controller that the process has answered; 0: none. */
  lastAnsweredNonce: number;
}

/** Maximum number of queries that are tracked. Answers to older ones would prove too little to be useful. */
const maxOutstandingQueries = 16;

/**
 * Lets a controller keep answering workers while the state service is unavailable. A reading of the state service's
 * revision proves that the replica holds every change that any controller had acted on when the reading was requested. This
 * quorum proves the same: every other controller, queried at that time, hands over all changes that it knows and the replica
 * lacks.
 *
 * The quorum consists of all peers, not of a majority: any one of them may have accepted a cancellation that no other
 * controller knows. What a process knew is lost when it ends. So a peer's process counts only if its first message arrived
 * before the time up to which the replica is known to be complete: the replica then holds whatever the process's predecessor
 * had acted on.
 */
export class FreshnessQuorum {
  private readonly processes = new Map<string, PeerProcess>();
  private outstanding: { readonly nonce: number; readonly sentAt: number }[] = [];
  private lastNonce = 0;
  private sentAt = -Infinity;

  constructor(
    private readonly instanceId: string,
    private readonly members: readonly string[],
    private readonly intervalMs: number,
  ) {}

  /** Records which process currently runs as a peer. */
  recordPeerProcess(member: string, instanceId: string, now: number): void {
    if (this.processes.get(member)?.instanceId !== instanceId)
      this.processes.set(member, { instanceId, firstHeardAt: now, lastAnsweredNonce: 0 });
  }

  /** Returns a new query if one is due, otherwise null. */
  nextQuery(now: number, revision: number, incarnation = 0): FreshnessQuery | null {
    if (now - this.sentAt < this.intervalMs) return null;
    this.sentAt = now;
    this.outstanding.push({ nonce: ++this.lastNonce, sentAt: now });
    this.outstanding = this.outstanding.slice(-maxOutstandingQueries);
    return { instanceId: this.instanceId, nonce: this.lastNonce, revision, incarnation };
  }

  /**
   * Handles a peer's answer whose changes the replica already holds. Returns the time up to which the replica is now known to
   * be complete, ms, or null if that is not confirmed yet. `completeUpTo` is the time up to which it was known to be complete
   * before.
   */
  onConfirmation(
    member: string,
    instanceId: string,
    query: FreshnessQuery,
    completeUpTo: number,
  ): number | null {
    const responder = this.processes.get(member);
    // Ignores late answers to queries of this process's predecessor, which had a different replica and different nonces.
    if (
      responder?.instanceId !== instanceId ||
      query.instanceId !== this.instanceId ||
      query.nonce > this.lastNonce
    )
      return null;
    responder.lastAnsweredNonce = Math.max(responder.lastAnsweredNonce, query.nonce);
    let oldestNonce = this.lastNonce;
    for (const peer of this.members) {
      const process = this.processes.get(peer);
      // A restarted peer does not know what its predecessor did after the replica was last complete.
      if (!process || process.firstHeardAt > completeUpTo) return null;
      oldestNonce = Math.min(oldestNonce, process.lastAnsweredNonce);
    }
    return this.outstanding.find((q) => q.nonce === oldestNonce)?.sentAt ?? null;
  }
}
