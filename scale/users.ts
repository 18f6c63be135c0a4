/** The users process: simulated users that submit, poll, retry and cancel jobs as the protocol prescribes. */
import { Agent } from 'node:http';
import { requestJson, type JsonResponse } from '../src/net/client.js';
import { seededRandom, type Random } from '../src/retry/index.js';
import { jobPath, defaultSubmission, cancelSuffix } from '../src/wire/user.js';
import { lagMeter, listenToParent, sendToParent } from './child.js';
import { jobId, type JobKind } from './jobs.js';
import { now, type FromUsers, type ToUsers, type UserEvent, type UsersStart } from './messages.js';

const submitTimeoutMs = 5000;
const pollTimeoutMs = 2000;
const pollIntervalMs = 5000;
const retryAfterMs = 1000;
const giveUpAfterMs = 60_000;
const sendEventsIntervalMs = 100;
const probeIntervalMs = 1000;
const arrivalCheckIntervalMs = 10;
/** Upper limit on the tasks of a job of the initial load. */
const maxInitialJobTasks = 2000;
const tasksPerUrgentJob = 1;
const cancelAfterMs = { least: 5000, most: 20_000 };

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** A minimal load balancer: sends each request to a random healthy controller. */
class LoadBalancer {
  private readonly healthy: boolean[];
  private readonly agent = new Agent({ keepAlive: true });

  constructor(
    private readonly addresses: string[],
    private readonly random: Random,
  ) {
    this.healthy = addresses.map(() => true);
    setInterval(() => void this.probe(), probeIntervalMs);
  }

  async call(
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<JsonResponse | null> {
    const candidates = this.addresses.filter((_, i) => this.healthy[i]);
    const targets = candidates.length > 0 ? candidates : this.addresses;
    const address = targets[Math.floor(this.random() * targets.length)];
    return requestJson(this.agent, address, method, path, body, timeoutMs);
  }

  private async probe(): Promise<void> {
    await Promise.all(
      this.addresses.map(async (address, i) => {
        const reply = await requestJson(this.agent, address, 'GET', '/healthz', null, probeIntervalMs);
        this.healthy[i] = reply?.status === 200;
      }),
    );
  }
}

class UsersProcess {
  private readonly random: Random;
  private readonly balancer: LoadBalancer;
  private events: UserEvent[] = [];
  private readonly counts = { requests: 0, unavailable: 0, openJobs: 0 };
  private readonly lastNumbers: Record<JobKind, number> = { initial: 0, usual: 0, urgent: 0 };
  private submitting = true;
  private readonly lag = lagMeter();

  constructor(private readonly options: UsersStart) {
    this.random = seededRandom(options.seed);
    this.balancer = new LoadBalancer(
      options.controllers.map(([, address]) => address),
      this.random,
    );
    setInterval(() => this.sendEvents(), sendEventsIntervalMs);
    sendToParent<FromUsers>({ kind: 'ready' });
    this.submitInitial();
    this.startArrivals('usual', options.startsPerS / options.tasksPerJob, options.tasksPerJob);
    if (options.urgentPerS > 0) this.startArrivals('urgent', options.urgentPerS, tasksPerUrgentJob);
  }

  receive(message: Exclude<ToUsers, UsersStart>): void {
    if (message.kind === 'stop-submitting') this.submitting = false;
    else sendToParent<FromUsers>({ kind: 'status', counts: this.counts, lag: this.lag() });
  }

  private sendEvents(): void {
    if (this.events.length === 0) return;
    const { events } = this;
    this.events = [];
    sendToParent<FromUsers>({ kind: 'events', events });
  }

  /** Submits the initial load in jobs of the usual size, or larger ones to need at most 200, though never above `maxInitialJobTasks`. */
  private submitInitial(): void {
    const { tasksPerJob, initialTasks } = this.options;
    const size = Math.min(maxInitialJobTasks, Math.max(tasksPerJob, Math.ceil(initialTasks / 200)));
    for (let left = initialTasks; left > 0; left -= size)
      void this.simulateJob('initial', Math.min(size, left));
  }

  /** Submits jobs at random times (a Poisson process) with the given mean rate. */
  private startArrivals(kind: JobKind, perS: number, tasks: number): void {
    let nextAt = now();
    const submitDueJobs = (): void => {
      if (!this.submitting) return;
      for (; nextAt <= now(); nextAt += (-Math.log(1 - this.random()) / perS) * 1000)
        void this.simulateJob(kind, tasks);
      setTimeout(submitDueJobs, arrivalCheckIntervalMs);
    };
    submitDueJobs();
  }

  /** Simulates the user of one job from its submission until the job has ended. */
  private async simulateJob(kind: JobKind, tasks: number): Promise<void> {
    const id = jobId(kind, ++this.lastNumbers[kind]);
    const { teams, estimateS, urgentEstimateS, cancelShare } = this.options;
    const team = teams[Math.floor(this.random() * teams.length)];
    const urgent = kind === 'urgent';
    const body = {
      ...defaultSubmission,
      nameId: id,
      jobclass: urgent ? 'urgent' : 'batch',
      owner: team,
      shape: 'sweep',
      urgency: urgent ? 'urgent' : 'normal',
      pieces: tasks,
      expectS: urgent ? urgentEstimateS : estimateS,
    };
    this.recordEvent({ at: now(), what: 'submitted', job: id, team, tasks, cpus: body.cpus, urgent });
    this.counts.openJobs++;
    if (await this.submit(id, body)) {
      const cancels = kind === 'usual' && this.random() < cancelShare;
      if (cancels) setTimeout(() => void this.cancel(id), this.randomCancelDelayMs());
      await this.pollUntilOver(id);
    }
    this.counts.openJobs--;
  }

  private randomCancelDelayMs(): number {
    return cancelAfterMs.least + this.random() * (cancelAfterMs.most - cancelAfterMs.least);
  }

  private async submit(id: string, body: object): Promise<boolean> {
    const firstAt = now();
    while (now() - firstAt < giveUpAfterMs) {
      const reply = await this.call('POST', jobPath, body, submitTimeoutMs);
      if (reply?.status === 201 || reply?.status === 200) {
        this.recordEvent({ at: now(), what: 'accepted', job: id, afterMs: now() - firstAt });
        return true;
      }
      if (reply?.status === 400 || reply?.status === 422) this.recordStatus(id, `refused ${reply.status}`);
      await pause(retryAfterMs);
    }
    this.recordEvent({ at: now(), what: 'given-up', job: id });
    return false;
  }

  private async pollUntilOver(id: string): Promise<void> {
    for (;;) {
      await pause(pollIntervalMs);
      const reply = await this.call('GET', `${jobPath}/${id}`, null, pollTimeoutMs);
      if (reply?.status === 404) this.recordStatus(id, 'unknown');
      if (reply?.status !== 200) continue;
      const { status } = reply.body as { status: string };
      this.recordStatus(id, status);
      if (status === 'done' || status === 'aborted') return;
    }
  }

  private async cancel(id: string): Promise<void> {
    const firstAt = now();
    for (;;) {
      const reply = await this.call('POST', `${jobPath}/${id}/${cancelSuffix}`, {}, submitTimeoutMs);
      const status = reply?.status === 200 ? (reply.body as { status: string }).status : null;
      if (status === 'aborted')
        this.recordEvent({ at: now(), what: 'cancelled', job: id, afterMs: now() - firstAt });
      if (status !== null) return this.recordStatus(id, status);
      await pause(retryAfterMs);
    }
  }

  private async call(
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<JsonResponse | null> {
    this.counts.requests++;
    const reply = await this.balancer.call(method, path, body, timeoutMs);
    if (reply === null || reply.status >= 429) this.counts.unavailable++;
    return reply;
  }

  private recordStatus(job: string, status: string): void {
    this.recordEvent({ at: now(), what: 'told', job, status });
  }

  private recordEvent(event: UserEvent): void {
    this.events.push(event);
  }
}

let users: UsersProcess | null = null;
listenToParent<ToUsers>((message) => {
  if (message.kind === 'start') users = new UsersProcess(message);
  else users?.receive(message);
});
