/** The queue of commands that wait for the next step of the core. */
import type { Settings } from './config/settings.js';
import type { Command, Effect } from './core/effects.js';
import type { Limits } from './limits/index.js';
import { BoundedPriorityQueues } from './queues/index.js';
import type { Random } from './retry/index.js';

/** Commands that are requests of users and workers, by decreasing priority. */
const requestTypes = ['cancel', 'heartbeat', 'submit', 'query'] as const;
type RequestType = (typeof requestTypes)[number];
type Request = Extract<Command, { type: RequestType }>;

/** Requests that one step handles at most: the next step sees what has come meanwhile. */
const maxRequestsPerStep = 128;
/** After this share of the time for which its sender waits, a response would come too late. */
const usableWaitShare = 0.75;
/** How long senders wait for a response by the protocol, ms. */
const senderWaitMs: Record<RequestType, number> = {
  cancel: 5000,
  heartbeat: 4000,
  submit: 5000,
  query: 2000,
};
/** Rejected requests are repeated after 1 s, plus a random share of this many heartbeat intervals. */
const retrySpreadIntervals = 1;

const isRequest = (command: Command): command is Request =>
  (requestTypes as readonly string[]).includes(command.type);

/**
 * Commands that wait. Results of the core's own effects are handled first and never rejected; requests go through bounded priority
 * queues, so that thousands of workers and hundreds of users that come at once do not starve each other.
 */
export class RequestQueue {
  private internal: Command[] = [];
  private readonly requests: BoundedPriorityQueues<RequestType, Request>;
  /** Memory is short: only requests that stop work or keep it alive are accepted. */
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

  /** Whether no command waits. */
  get empty(): boolean {
    return this.internal.length === 0 && this.requests.size === 0;
  }

  /** Adds a command. Returns the responses to the requests that are rejected for it. */
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

  /** Drops results of effects: the core restarts. Requests stay. */
  discardResponses(): void {
    this.internal = [];
  }

  /** Removes the commands of the next step. `answers`: the responses to requests that have waited for too long. */
  take(now: number): { commands: Command[]; answers: Effect[] } {
    const { items, expired } = this.requests.take(maxRequestsPerStep, now);
    const commands = this.internal.concat(items);
    this.internal = [];
    return { commands, answers: expired.map((request) => this.rejection(request)) };
  }

  private rejection({ requestId }: Request): Effect {
    const spreadS = this.settings.workers.report_s * retrySpreadIntervals * this.random();
    const body = { error: 'too much at once, try again later' };
    return { type: 'respond', requestId, status: 503, body, retryAfterS: 1 + Math.floor(spreadS) };
  }
}
