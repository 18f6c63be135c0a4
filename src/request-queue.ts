import type { Settings } from './config/settings.js';
import type { Command, Effect } from './core/effects.js';
import { BoundedPriorityQueues } from './queues/index.js';
import type { Limits } from './limits/index.js';
import type { Random } from './retry/index.js';

type Request = Extract<Command, { type: 'submit' | 'query' | 'cancel' | 'heartbeat' }>;
const laneNames = { cancel: 'cancel', heartbeat: 'heartbeat', submit: 'submit', query: 'query' } as const;
type LaneName = keyof typeof laneNames;

/** What requests may take of a step together: the next step sees what has come meanwhile. */
const perStep = 128;
/** After this share of the time for which its sender waits, an answer would come too late. */
const patience = 0.75;
/** Who is turned away comes back within this share of the workers' report interval, and not all at once. */
const spreadShare = 1;

const isRequest = (c: Command): c is Request => c.type in laneNames;

/**
 * What waits to be worked off. What our own calls brought goes first and is never turned away; requests come through
 * lanes, so that a thousand workers and hundreds of users that come at once do not starve each other.
 */
export class RequestQueue {
  private inner: Command[] = [];
  private readonly lanes: BoundedPriorityQueues<LaneName, Request>;
  /** Memory is short: only what stops work or keeps it alive is taken in. */
  memoryShort = false;

  constructor(
    private readonly settings: Settings,
    limits: Limits,
    private readonly random: Random,
  ) {
    const { max: most } = limits.sockets;
    const { maxWaitingRequests: waiting } = limits;
    // In order of need. How long senders wait is what the protocol says.
    this.lanes = new BoundedPriorityQueues(
      {
        cancel: { share: 4, most: waiting, patienceMs: 5000 * patience },
        heartbeat: { share: 4, most, patienceMs: 4000 * patience },
        submit: { share: 3, most: waiting, patienceMs: 5000 * patience },
        query: { share: 1, most: waiting, patienceMs: 2000 * patience },
      },
      most,
    );
  }

  get empty(): boolean {
    return this.inner.length === 0 && this.lanes.size === 0;
  }

  /** Takes a command in; the answers to those that are turned away for it. */
  offer(c: Command, now: number): Effect[] {
    if (!isRequest(c)) {
      this.inner.push(c);
      return [];
    }
    if (this.memoryShort && (c.type === 'query' || c.type === 'submit')) return [this.later(c)];
    return this.lanes.offer(c.type, c, now).map((x) => this.later(x));
  }

  /** Of the submissions that may wait to be worked off, so many do. */
  get submissionFillRatio(): number {
    return this.lanes.fillRatio('submit');
  }

  /** Answers to what was asked before count no more; requests wait on. */
  discardResponses(): void {
    this.inner = [];
  }

  take(now: number): { commands: Command[]; answers: Effect[] } {
    const { items, expired } = this.lanes.take(perStep, now);
    const commands = this.inner.concat(items);
    this.inner = [];
    return { commands, answers: expired.map((x) => this.later(x)) };
  }

  private later(c: Request): Effect {
    const spread = this.settings.workers.report_s * spreadShare * this.random();
    const body = { error: 'too much at once, try again later' };
    return {
      type: 'respond',
      requestId: c.requestId,
      status: 503,
      body,
      retryAfterS: 1 + Math.floor(spread),
    };
  }
}
