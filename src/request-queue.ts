/** The queue of commands for the next step of the core. */
import type { Settings } from './config/settings.js';
import type { Command, Effect } from './core/effects.js';
import type { Limits } from './limits/index.js';
import { BoundedPriorityQueues } from './queues/index.js';
import type { Random } from './retry/index.js';

/** The commands that are requests of users and workers, by decreasing priority. */
const requestTypes = ['cancel', 'heartbeat', 'submit', 'query'] as const;
type RequestType = (typeof requestTypes)[number];
type Request = Extract<Command, { type: RequestType }>;

/** The most requests that one step handles. The next step also sees those that have arrived meanwhile. */
const maxRequestsPerStep = 128;
/** A request that has waited for this share of its sender's timeout is rejected: the response would come too late. */
const usableWaitShare = 0.75;
/** The timeouts of senders by the protocol, ms. */
const senderWaitMs: Record<RequestType, number> = {
  cancel: 5000,
  heartbeat: 4000,
  submit: 5000,
  query: 2000,
};
/** Rejected requests are to be retried after 1 s, plus a random share of this many heartbeat intervals. */
const retrySpreadIntervals = 1;

const isRequest = (command: Command): command is Request =>
  (requestTypes as readonly string[]).includes(command.type);

/**
 * Commands that wait for the next step. Results of the core's own effects are handled first and never rejected. Requests go through
 * bounded priority queues, so that thousands of workers and hundreds of users do not starve each other.
 */
export class RequestQueue {
  private internal: Command[] = [];
  private readonly requests: BoundedPriorityQueues<RequestType, Request>;
  /** Whether memory is short: then only cancellations and heartbeats are accepted. */
  memoryShort = false;

  constructor(
    private readonly settings: Settings,
    limits: Limits,
    private readonly random: Random,
  ) {
    const maxConnections = limits.sockets.max;
    const { maxWaitingRequests } = limits;
    const queue = (type: RequestType, share: number, maxWaiting: number) => ({
      share,
      maxWaiting,
      maxWaitMs: senderWaitMs[type] * usableWaitShare,
    });
    this.requests = new BoundedPriorityQueues(
      {
        cancel: queue('cancel', 4, maxWaitingRequests),
        heartbeat: queue('heartbeat', 4, maxConnections),
        submit: queue('submit', 3, maxWaitingRequests),
        query: queue('query', 1, maxWaitingRequests),
      },
      maxConnections,
    );
  }

  /** Whether no commands wait. */
  get empty(): boolean {
    return this.internal.length === 0 && this.requests.size === 0;
  }

  /** Adds a command. Returns the responses to the requests that are rejected to make room for it, which may include itself. */
  offer(command: Command, now: number): Effect[] {
    if (!isRequest(command)) {
      this.internal.push(command);
      return [];
    }
    if (this.memoryShort && (command.type === 'query' || command.type === 'submit'))
      return [this.rejection(command)];
    return this.requests.offer(command.type, command, now).map((request) => this.rejection(request));
  }

  /** How full the queue of submissions is, as a share of its limit. */
  get submissionFillRatio(): number {
    return this.requests.fillRatio('submit');
  }

  /** Drops results of effects, for a restart of the core. Requests stay queued. */
  discardResponses(): void {
    this.internal = [];
  }

  /** Removes and returns the commands for the next step. `rejections`: the responses to requests that have waited too long. */
  take(now: number): { commands: Command[]; rejections: Effect[] } {
    const { items, expired } = this.requests.take(maxRequestsPerStep, now);
    const commands = this.internal.concat(items);
    this.internal = [];
    return { commands, rejections: expired.map((request) => this.rejection(request)) };
  }

  private rejection({ requestId }: Request): Effect {
    const spreadS = this.settings.workers.report_s * retrySpreadIntervals * this.random();
    const body = { error: 'too much at once, try again later' };
    return { type: 'respond', requestId, status: 503, body, retryAfterS: 1 + Math.floor(spreadS) };
  }
}
