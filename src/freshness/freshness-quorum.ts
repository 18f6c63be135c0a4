/** What a controller asks the others: what do you know that is newer than this revision? */
export interface FreshnessQuery {
  /** The process that asks. */
  run: string;
  nonce: number;
  revision: number;
  /** The incarnation that it follows; 0: none. What is known of another says nothing. */
  incarnation: number;
}

interface Peer {
  /** The process that speaks for this member, and when it was first heard, ms. */
  run: string;
  since: number;
  /** The newest question of ours that it has answered. */
  answered: number;
}

const mostAsked = 16;

/**
 * Lets a controller go on answering workers while the state service answers nobody. A reading of the state's revision
 * proves that the view holds all that any controller had told anybody when the reading was asked for. So does this: every
 * other controller, asked at that moment, hands over all that it knows and the view lacks.
 *
 * What a process knew is lost with it. So a process counts only if it was heard before the view was last known to be
 * complete: whatever its predecessor told is in the view then.
 */
export class FreshnessQuorum {
  private readonly peers = new Map<string, Peer>();
  private asked: { nonce: number; at: number }[] = [];
  private nonce = 0;
  private askedAt = -Infinity;

  constructor(
    private readonly run: string,
    private readonly members: readonly string[],
    private readonly intervalMs: number,
  ) {}

  notePeerProcess(member: string, run: string, now: number): void {
    if (this.peers.get(member)?.run !== run) this.peers.set(member, { run, since: now, answered: 0 });
  }

  /** A new question, if it is time for one. */
  nextQuery(now: number, revision: number, incarnation = 0): FreshnessQuery | null {
    if (now - this.askedAt < this.intervalMs) return null;
    this.askedAt = now;
    this.asked.push({ nonce: ++this.nonce, at: now });
    // Answers to older ones prove too little to be worth keeping them.
    this.asked = this.asked.slice(-mostAsked);
    return { run: this.run, nonce: this.nonce, revision, incarnation };
  }

  /**
   * A peer has handed over all that it knew, and the view holds it by now. Returns the moment up to which the view is
   * known to be complete by that, or null. `completeUpTo`: the moment up to which it was known to be before.
   */
  onAnswer(member: string, run: string, query: FreshnessQuery, completeUpTo: number): number | null {
    const p = this.peers.get(member);
    // Guards against the late answer to a question of our own predecessor, whose view and whose numbers were others.
    if (p?.run !== run || query.run !== this.run || query.nonce > this.nonce) return null;
    p.answered = Math.max(p.answered, query.nonce);
    let oldest = this.nonce;
    for (const m of this.members) {
      const peer = this.peers.get(m);
      // Guards against the restarted peer: what its predecessor told since the view was complete, it does not know.
      if (!peer || peer.since > completeUpTo) return null;
      oldest = Math.min(oldest, peer.answered);
    }
    return this.asked.find((q) => q.nonce === oldest)?.at ?? null;
  }
}
