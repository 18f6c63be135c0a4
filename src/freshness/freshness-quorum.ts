/** Freshness quorum: every peer confirms that a replica lacks nothing that the peer knows. */

/** Asks a peer for the changes that it knows above a revision. */
export interface FreshnessQuery {
  /** The process that asks. */
  readonly instanceId: string;
  readonly nonce: number;
  readonly revision: number;
  /** The incarnation of the state that it follows; 0: none. What is known of another one says nothing. */
  readonly incarnation: number;
}

interface PeerProcess {
  readonly instanceId: string;
  /** When the process was first heard, ms. */
  readonly firstHeardAt: number;
  /** The newest query of ours that it has answered. */
  lastAnsweredNonce: number;
}

/** Answers to queries before the newest ones confirm too old a replica to be of use. */
const maxOutstandingQueries = 16;

/**
 * Lets a controller go on answering workers while the state service is unavailable. A reading of the state's revision
 * proves that the replica holds all that any controller had acted on when the reading was requested. So does this quorum:
 * every other controller, queried at that moment, hands over all that it knows and the replica lacks.
 *
 * The quorum is of all peers, not of a majority: any one of them may have accepted a cancellation that nobody else knows.
 * What a process knew is lost with it. So a process counts only if it was heard before the replica was last known to be
 * complete: whatever its predecessor had acted on is in the replica then.
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

  /** A process was heard under a peer's name. */
  recordPeerProcess(member: string, instanceId: string, now: number): void {
    if (this.processes.get(member)?.instanceId !== instanceId)
      this.processes.set(member, { instanceId, firstHeardAt: now, lastAnsweredNonce: 0 });
  }

  /** A new query, if one is due. */
  nextQuery(now: number, revision: number, incarnation = 0): FreshnessQuery | null {
    if (now - this.sentAt < this.intervalMs) return null;
    this.sentAt = now;
    this.outstanding.push({ nonce: ++this.lastNonce, sentAt: now });
    this.outstanding = this.outstanding.slice(-maxOutstandingQueries);
    return { instanceId: this.instanceId, nonce: this.lastNonce, revision, incarnation };
  }

  /**
   * A peer has handed over all that it knew, and the replica holds it by now. Returns the moment up to which the replica is
   * known to be complete by that, or null. `completeUpTo`: the moment up to which it was known to be complete before.
   */
  onConfirmation(
    member: string,
    instanceId: string,
    query: FreshnessQuery,
    completeUpTo: number,
  ): number | null {
    const responder = this.processes.get(member);
    // Guards against the late answer to a query of this process's predecessor, whose replica and nonces were others.
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
      // Guards against the restarted peer: it does not know what its predecessor did since the replica was complete.
      if (!process || process.firstHeardAt > completeUpTo) return null;
      oldestNonce = Math.min(oldestNonce, process.lastAnsweredNonce);
    }
    return this.outstanding.find((q) => q.nonce === oldestNonce)?.sentAt ?? null;
  }
}
