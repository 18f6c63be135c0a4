/** What a control service serves beside the protocol: jobs, results and machines, for its command line. */
import { request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { JobRecord } from '../core/storage/index.js';
import { jobStatus } from '../wire/user.js';
import { parseJoining } from '../wire/agent-side.js';
import { readJson, sendJson as reply } from '../net/json.js';
import type { Service } from '../service.js';
import type { AgentJob } from '../wire/agent-side.js';
import type { AgentPool } from './agent-pool.js';
import type { ResultStore } from './result-store.js';
import type { ControlSettings } from './settings.js';

const maxBodyBytes = 64 * 1024;
const maxListedJobs = 1000;
const outputTimeoutMs = 5000;

/** The control service, as its answers need it. */
export interface ApiBackend {
  readonly settings: ControlSettings;
  readonly service: Service;
  readonly pool: AgentPool;
  readonly results: ResultStore;
  readonly owner: string | null;
  readonly owns: boolean;
  refreshResults(job: string): Promise<void>;
  agentJob(id: string): AgentJob | null;
  analyze(id: string): object | null;
}

/** What the control service answers beyond the protocol: agents that join, machines, lists, results, output. */
export class ControlApi {
  constructor(
    private readonly control: ApiBackend,
    /** Writes a snapshot of the store, if it is in this process. */
    private readonly snapshot: (() => Promise<object>) | null,
  ) {}

  /** False: not one of ours. */
  serve(req: IncomingMessage, res: ServerResponse, path: string): boolean {
    const parts = path.split('/').slice(1);
    const route = `${req.method ?? ''} ${parts[0]}/${parts.length}/${parts[2] ?? ''}`;
    const query = new URL(req.url ?? '/', 'http://control').searchParams;
    switch (route) {
      case 'POST agents/1/':
        void this.joinAgent(req, res);
        return true;
      case 'POST snapshot/1/':
        void this.takeSnapshot(res);
        return true;
      case 'GET machines/1/':
        reply(res, 200, { machines: this.listMachines(), owner: this.control.owner });
        return true;
      case 'POST machines/3/drain':
      case 'POST machines/3/forget':
        void this.applyMachineAction(parts[1], parts[2], res);
        return true;
      case 'GET work/1/':
        reply(res, 200, this.listJobs(query));
        return true;
      case 'GET work/3/tasks':
        void this.withCurrentResults(res, parts[1], () => this.listTasks(parts[1], res));
        return true;
      case 'GET work/3/job': {
        const job = this.control.agentJob(parts[1]);
        reply(res, job ? 200 : 404, job ?? { error: 'no such job, or it is over' });
        return true;
      }
      case 'GET work/3/analyze': {
        const analysis = this.control.analyze(parts[1]);
        reply(res, analysis ? 200 : 404, analysis ?? { error: 'no such job, or it is over' });
        return true;
      }
      case 'GET work/4/output':
        void this.withCurrentResults(res, parts[1], () =>
          this.proxyOutput(parts[1], Number(parts[3]), query, res),
        );
        return true;
    }
    return false;
  }

  /** What another control service may have recorded is read first. */
  private async withCurrentResults(res: ServerResponse, job: string, respond: () => void): Promise<void> {
    try {
      await this.control.refreshResults(job);
    } catch (error) {
      return reply(res, 503, { error: String((error as Error).message) }, { 'Retry-After': 1 });
    }
    respond();
  }

  private async joinAgent(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const joining = parseJoining(await readJson(req, maxBodyBytes));
    if (typeof joining === 'string') return reply(res, 400, { error: joining });
    try {
      const result = await this.control.pool.join(joining);
      if ('refused' in result) return reply(res, 409, { error: result.refused });
      const { reportS, leaseS, gangWaitS } = this.control.settings;
      reply(res, 200, { ...result, reportS, leaseS, gangWaitS });
    } catch (error) {
      reply(res, 503, { error: String((error as Error).message) });
    }
  }

  private async takeSnapshot(res: ServerResponse): Promise<void> {
    if (!this.snapshot) return reply(res, 409, { error: 'the store is elsewhere: ask it' });
    try {
      reply(res, 200, await this.snapshot());
    } catch (error) {
      reply(res, 503, { error: String((error as Error).message) });
    }
  }

  private listMachines(): object[] {
    const { pool, service, settings } = this.control;
    const now = performance.now();
    const scheduledMachines = service.controller.shardManager.machines;
    return [...pool.all()].map((machine) => {
      const scheduled = scheduledMachines.get(machine.host);
      const silentS = machine.lastHeartbeatAt === null ? null : (now - machine.lastHeartbeatAt) / 1000;
      const missing = silentS === null || silentS > settings.missingS;
      const tasks = scheduled?.placements.size ?? 0;
      const state = machine.forgotten
        ? 'forgotten'
        : machine.drainedAt !== null
          ? 'draining'
          : !this.control.owns
            ? 'reports elsewhere'
            : missing
              ? 'missing'
              : 'up';
      return {
        host: machine.host,
        name: machine.name,
        state,
        type: machine.type,
        zone: machine.zone,
        cpus: machine.cpus,
        gpus: machine.gpus,
        memGb: machine.memGb,
        attrs: machine.attrs,
        tasks,
        usedCpus: scheduled?.used.cpus ?? 0,
        silentS: silentS === null ? null : Math.round(silentS * 10) / 10,
        ...(missing && tasks > 0 && scheduled
          ? { held: heldReason(scheduled.earliestLeaseExpiry, now, settings.leaseS) }
          : {}),
      };
    });
  }

  private async applyMachineAction(name: string, action: string, res: ServerResponse): Promise<void> {
    const { pool, service } = this.control;
    const machine = pool.find(decodeURIComponent(name));
    if (!machine) return reply(res, 404, { error: `no machine ${name}` });
    try {
      if (action === 'drain') await pool.drain(machine.host);
      else {
        await pool.forget(machine.host);
        service.push({ type: 'forget-machine', host: machine.host });
      }
      reply(res, 200, { host: machine.host, [action]: true });
    } catch (error) {
      reply(res, 503, { error: String((error as Error).message) });
    }
  }

  private listJobs(query: URLSearchParams): object {
    const { replica } = this.control.service.controller;
    const wantedStatus = query.get('status');
    const limit = Math.min(maxListedJobs, Math.max(1, Number(query.get('limit') ?? 100) || 100));
    const jobs: object[] = [];
    let hasMore = false;
    // The newest first.
    for (const job of [...replica.jobs.values()].sort((a, b) => b.acceptedAt - a.acceptedAt)) {
      const summary = this.summarize(job);
      if (wantedStatus !== null && summary.status !== wantedStatus) continue;
      if (jobs.length >= limit) {
        hasMore = true;
        break;
      }
      jobs.push(summary);
    }
    return { jobs, more: hasMore };
  }

  private summarize(job: JobRecord): { status: string } & Record<string, unknown> {
    const { replica } = this.control.service.controller;
    const counts = replica.taskCounts(job.id);
    const failed = this.control.results.failures(job.id);
    return {
      nameId: job.id,
      status: jobStatus(job.state, counts.running),
      pieces: job.taskCount,
      done: job.state === 'done' ? job.taskCount : counts.done,
      running: job.state === 'open' ? counts.running : 0,
      failed,
      jobclass: job.spec?.class ?? null,
      owner: job.spec?.team ?? null,
      acceptedAt: new Date(job.acceptedAt).toISOString(),
    };
  }

  private listTasks(id: string, res: ServerResponse): void {
    const { replica } = this.control.service.controller;
    const job = replica.jobs.get(id);
    if (!job) return reply(res, 404, { error: 'no such job' });
    const placements = new Map<number, { attempt: number; host: string }>();
    for (const c of replica.chunks.get(id)?.values() ?? [])
      for (const placement of c.placements)
        placements.set(placement.index, { attempt: placement.attempt, host: placement.host });
    const tasks: object[] = [];
    for (let index = 0; index < job.taskCount; index++) {
      const result = this.control.results.get(id, index);
      const p = placements.get(index);
      const state = result?.final
        ? result.reason === 'exited' && result.exit === 0
          ? 'done'
          : 'failed'
        : job.state === 'cancelled'
          ? 'aborted'
          : p
            ? 'placed'
            : 'pending';
      tasks.push({
        index,
        state,
        ...(p && !result?.final ? p : {}),
        ...(result ? { last: { ...result } } : {}),
      });
    }
    reply(res, 200, { ...this.summarize(job), tasks });
  }

  /** Output is on the machine where the attempt ran: it is fetched from there. */
  private proxyOutput(id: string, index: number, query: URLSearchParams, res: ServerResponse): void {
    const { results, pool, service } = this.control;
    const result = results.get(id, index);
    let location: { host: string; attempt: number } | undefined = result;
    for (const c of service.controller.replica.chunks.get(id)?.values() ?? [])
      for (const p of c.placements) if (p.index === index && !result?.final) location = p;
    if (!location)
      return reply(res, 404, { error: `${id}/${index}: has not run yet, or there is no such task` });
    const endpoint = pool.get(location.host)?.endpoint;
    if (!endpoint)
      return reply(res, 503, {
        error: `${id}/${index}: its output is on ${location.host}, which is not here now`,
      });
    const stream = query.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    const path = `/output?job=${id}&index=${index}&attempt=${location.attempt}&stream=${stream}`;
    const [host, port] = endpoint.split(':');
    const upstream = request({ host, port: Number(port), path, timeout: outputTimeoutMs }, (response) => {
      res.writeHead(response.statusCode ?? 502, {
        'Content-Type': response.headers['content-type'] ?? 'text/plain',
      });
      response.pipe(res);
    });
    upstream.on('timeout', () => upstream.destroy(new Error('no answer')));
    upstream.on('error', (e) => reply(res, 503, { error: `${location.host}: ${e.message}` }));
    upstream.end();
  }
}

/** Why tasks on a machine that is missing are not given to others yet. */
function heldReason(leaseUntil: number, now: number, leaseS: number): string {
  const remainingS = (leaseUntil + leaseS * 1500 + 1000 - now) / 1000;
  return remainingS > 0
    ? `its tasks may be running: its lease has surely ended in ${Math.ceil(remainingS)} s; if you know that it is gone: machine forget`
    : 'its lease has ended';
}
