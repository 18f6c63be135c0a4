/** What a control service serves beside the protocol: jobs, results and machines, for its command line. */
import { request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { JobRecord } from '../core/storage/index.js';
import { jobStatus } from '../wire/user.js';
import { parseJoining } from '../wire/agent-side.js';
import { readJson, replyJson as reply } from '../net/json.js';
import type { Service } from '../service.js';
import type { AgentJob } from '../wire/agent-side.js';
import type { Pool } from './pool.js';
import type { Results } from './results.js';
import type { ControlSettings } from './settings.js';

const mostBody = 64 * 1024;
const mostListed = 1000;
const outputMs = 5000;

/** The control service, as its answers need it. */
export interface Answering {
  readonly settings: ControlSettings;
  readonly service: Service;
  readonly pool: Pool;
  readonly results: Results;
  readonly owner: string | null;
  readonly owns: boolean;
  refresh(job: string): Promise<void>;
  agentJob(id: string): AgentJob | null;
  analyze(id: string): object | null;
}

/** What the control service answers beyond the protocol: agents that join, machines, lists, results, output. */
export class Api {
  constructor(
    private readonly control: Answering,
    /** Writes a snapshot of the store, if it is in this process. */
    private readonly snapshot: (() => Promise<object>) | null,
  ) {}

  /** False: not one of ours. */
  serve(req: IncomingMessage, res: ServerResponse, path: string): boolean {
    const part = path.split('/').slice(1);
    const route = `${req.method ?? ''} ${part[0]}/${part.length}/${part[2] ?? ''}`;
    const q = new URL(req.url ?? '/', 'http://control').searchParams;
    switch (route) {
      case 'POST agents/1/':
        void this.join(req, res);
        return true;
      case 'POST snapshot/1/':
        void this.takeSnapshot(res);
        return true;
      case 'GET machines/1/':
        reply(res, 200, { machines: this.machines(), owner: this.control.owner });
        return true;
      case 'POST machines/3/drain':
      case 'POST machines/3/forget':
        void this.person(part[1], part[2], res);
        return true;
      case 'GET work/1/':
        reply(res, 200, this.list(q));
        return true;
      case 'GET work/3/tasks':
        void this.reading(res, part[1], () => this.tasks(part[1], res));
        return true;
      case 'GET work/3/job': {
        const job = this.control.agentJob(part[1]);
        reply(res, job ? 200 : 404, job ?? { error: 'no such job, or it is over' });
        return true;
      }
      case 'GET work/3/analyze': {
        const a = this.control.analyze(part[1]);
        reply(res, a ? 200 : 404, a ?? { error: 'no such job, or it is over' });
        return true;
      }
      case 'GET work/4/output':
        void this.reading(res, part[1], () => this.output(part[1], Number(part[3]), q, res));
        return true;
    }
    return false;
  }

  /** What another control service may have recorded is read first. */
  private async reading(res: ServerResponse, job: string, then: () => void): Promise<void> {
    try {
      await this.control.refresh(job);
    } catch (e) {
      return reply(res, 503, { error: String((e as Error).message) }, { 'Retry-After': 1 });
    }
    then();
  }

  private async join(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const joining = parseJoining(await readJson(req, mostBody));
    if (typeof joining === 'string') return reply(res, 400, { error: joining });
    try {
      const r = await this.control.pool.join(joining);
      if ('refused' in r) return reply(res, 409, { error: r.refused });
      const { reportS, leaseS, gangWaitS } = this.control.settings;
      reply(res, 200, { ...r, reportS, leaseS, gangWaitS });
    } catch (e) {
      reply(res, 503, { error: String((e as Error).message) });
    }
  }

  private async takeSnapshot(res: ServerResponse): Promise<void> {
    if (!this.snapshot) return reply(res, 409, { error: 'the store is elsewhere: ask it' });
    try {
      reply(res, 200, await this.snapshot());
    } catch (e) {
      reply(res, 503, { error: String((e as Error).message) });
    }
  }

  private machines(): object[] {
    const { pool, service, settings } = this.control;
    const now = performance.now();
    const runs = service.controller.shardManager.machines;
    return [...pool.all()].map((m) => {
      const run = runs.get(m.host);
      const silentS = m.heardAt === null ? null : (now - m.heardAt) / 1000;
      const missing = silentS === null || silentS > settings.missingS;
      const tasks = run?.placements.size ?? 0;
      const state = m.forgotten
        ? 'forgotten'
        : m.drainedAt !== null
          ? 'draining'
          : !this.control.owns
            ? 'reports elsewhere'
            : missing
              ? 'missing'
              : 'up';
      return {
        host: m.host,
        name: m.name,
        state,
        type: m.type,
        zone: m.zone,
        cpus: m.cpus,
        gpus: m.gpus,
        memGb: m.memGb,
        attrs: m.attrs,
        tasks,
        usedCpus: run?.used.cpus ?? 0,
        silentS: silentS === null ? null : Math.round(silentS * 10) / 10,
        ...(missing && tasks > 0 && run
          ? { held: whyHeld(run.earliestLeaseExpiry, now, settings.leaseS) }
          : {}),
      };
    });
  }

  private async person(name: string, what: string, res: ServerResponse): Promise<void> {
    const { pool, service } = this.control;
    const m = pool.find(decodeURIComponent(name));
    if (!m) return reply(res, 404, { error: `no machine ${name}` });
    try {
      if (what === 'drain') await pool.drain(m.host);
      else {
        await pool.forget(m.host);
        service.push({ type: 'forget-machine', host: m.host });
      }
      reply(res, 200, { host: m.host, [what]: true });
    } catch (e) {
      reply(res, 503, { error: String((e as Error).message) });
    }
  }

  private list(q: URLSearchParams): object {
    const { replica } = this.control.service.controller;
    const wanted = q.get('status');
    const limit = Math.min(mostListed, Math.max(1, Number(q.get('limit') ?? 100) || 100));
    const jobs: object[] = [];
    let more = false;
    // The newest first.
    for (const job of [...replica.jobs.values()].sort((a, b) => b.at - a.at)) {
      const shown = this.shown(job);
      if (wanted !== null && shown.status !== wanted) continue;
      if (jobs.length >= limit) {
        more = true;
        break;
      }
      jobs.push(shown);
    }
    return { jobs, more };
  }

  private shown(job: JobRecord): { status: string } & Record<string, unknown> {
    const { replica } = this.control.service.controller;
    const c = replica.taskCounts(job.id);
    const failed = this.control.results.failures(job.id);
    return {
      nameId: job.id,
      status: jobStatus(job.state, c.running),
      pieces: job.tasks,
      done: job.state === 'done' ? job.tasks : c.done,
      running: job.state === 'open' ? c.running : 0,
      failed,
      jobclass: job.spec?.class ?? null,
      owner: job.spec?.team ?? null,
      acceptedAt: new Date(job.at).toISOString(),
    };
  }

  private tasks(id: string, res: ServerResponse): void {
    const { replica } = this.control.service.controller;
    const job = replica.jobs.get(id);
    if (!job) return reply(res, 404, { error: 'no such job' });
    const placed = new Map<number, { attempt: number; host: string }>();
    for (const c of replica.chunks.get(id)?.values() ?? [])
      for (const p of c.placed) placed.set(p.index, { attempt: p.attempt, host: p.host });
    const tasks: object[] = [];
    for (let index = 0; index < job.tasks; index++) {
      const r = this.control.results.get(id, index);
      const p = placed.get(index);
      const state = r?.final
        ? r.reason === 'exited' && r.exit === 0
          ? 'done'
          : 'failed'
        : job.state === 'cancelled'
          ? 'aborted'
          : p
            ? 'placed'
            : 'pending';
      tasks.push({ index, state, ...(p && !r?.final ? p : {}), ...(r ? { last: { ...r } } : {}) });
    }
    reply(res, 200, { ...this.shown(job), tasks });
  }

  /** Output is on the machine where the attempt ran: it is fetched from there. */
  private output(id: string, index: number, q: URLSearchParams, res: ServerResponse): void {
    const { results, pool, service } = this.control;
    const r = results.get(id, index);
    let at: { host: string; attempt: number } | undefined = r;
    for (const c of service.controller.replica.chunks.get(id)?.values() ?? [])
      for (const p of c.placed) if (p.index === index && !r?.final) at = p;
    if (!at) return reply(res, 404, { error: `${id}/${index}: has not run yet, or there is no such task` });
    const endpoint = pool.get(at.host)?.endpoint;
    if (!endpoint)
      return reply(res, 503, { error: `${id}/${index}: its output is on ${at.host}, which is not here now` });
    const stream = q.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    const path = `/output?job=${id}&index=${index}&attempt=${at.attempt}&stream=${stream}`;
    const [host, port] = endpoint.split(':');
    const out = request({ host, port: Number(port), path, timeout: outputMs }, (from) => {
      res.writeHead(from.statusCode ?? 502, { 'Content-Type': from.headers['content-type'] ?? 'text/plain' });
      from.pipe(res);
    });
    out.on('timeout', () => out.destroy(new Error('no answer')));
    out.on('error', (e) => reply(res, 503, { error: `${at.host}: ${e.message}` }));
    out.end();
  }
}

/** Why tasks on a machine that is missing are not given to others yet. */
function whyHeld(leaseUntil: number, now: number, leaseS: number): string {
  const left = (leaseUntil + leaseS * 1500 + 1000 - now) / 1000;
  return left > 0
    ? `its tasks may be running: its lease has surely ended in ${Math.ceil(left)} s; if you know that it is gone: machine forget`
    : 'its lease has ended';
}
