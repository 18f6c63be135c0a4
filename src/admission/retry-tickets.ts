/** A job that was turned away, as controllers tell each other. */
export interface Rejection {
  id: string;
  team: string;
  class: string;
  /** Since its user first tried, ms. */
  ageMs: number;
}

interface Ticket {
  kind: string;
  firstAttemptAt: number;
}

const kindOf = (team: string, cls: string): string => `${team} ${cls}`;

/**
 * Who was turned away and may come back, here or at another controller: since when it tries. Bounded: the oldest tickets go
 * first, whose users have given up by then.
 */
export class RetryTickets {
  private readonly byId = new Map<string, Ticket>();
  private readonly waiting = new Map<string, number>();

  constructor(
    private readonly most: number,
    /** How long a user tries, ms. */
    private readonly tryMs: number,
  ) {}

  /** How many of a class were turned away and have not been taken in since. */
  outstandingCount(team: string, cls: string): number {
    return this.waiting.get(kindOf(team, cls)) ?? 0;
  }

  /** When a job's user first tried, if that is known. */
  firstAttemptAt(id: string): number | undefined {
    return this.byId.get(id)?.firstAttemptAt;
  }

  record({ id, team, class: cls, ageMs }: Rejection, now: number): void {
    const firstAt = now - ageMs;
    const known = this.byId.get(id);
    if (known) {
      known.firstAttemptAt = Math.min(known.firstAttemptAt, firstAt);
      return;
    }
    const kind = kindOf(team, cls);
    this.byId.set(id, { kind, firstAttemptAt: firstAt });
    this.waiting.set(kind, (this.waiting.get(kind) ?? 0) + 1);
    this.prune(now);
  }

  /** It was taken in, or is known not to be wanted any more. */
  remove(id: string): void {
    const t = this.byId.get(id);
    if (!t) return;
    this.byId.delete(id);
    const left = this.waiting.get(t.kind)! - 1;
    if (left > 0) this.waiting.set(t.kind, left);
    else this.waiting.delete(t.kind);
  }

  prune(now: number): void {
    for (const [id, t] of this.byId) {
      if (this.byId.size <= this.most && now - t.firstAttemptAt <= this.tryMs) break;
      this.remove(id);
    }
  }
}
