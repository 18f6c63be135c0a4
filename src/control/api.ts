/** The HTTP API that a control service adds to the core's protocol: joining agents, machines, jobs, results and output. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson as reply } from '../net/json.js';
import { parseJoinRequest, type AgentJob } from '../wire/agent.js';
import { jobWithTasks, listJobs, locateTask } from './job-views.js';
import { listMachines, type MachineViewSources } from './machine-views.js';
import { proxyOutput } from './output-proxy.js';
import type { ResultStore } from './result-store.js';

const maxBodyBytes = 64 * 1024;
const noActiveJob = { error: 'no such job, or it is over' };

/** What the API needs from the control service. */
export interface ApiBackend extends MachineViewSources {
  readonly results: ResultStore;
  /** The name of the control service that owns the shard; null if there is none at the moment. */
  readonly owner: string | null;
  /** Loads a job's results that another control service may have recorded. */
  refreshResults(job: string): Promise<void>;
  /** Returns the description of an unfinished job for agents; null if there is no such job. */
  agentJob(id: string): AgentJob | null;
  /** Analyzes which machines match an unfinished job and why; null if there is no such job. */
  analyze(id: string): object | null;
}

/** Routes and handles the requests of this API. */
export class ControlApi {
  constructor(
    private readonly control: ApiBackend,
    /** Writes a snapshot of the embedded store; null if the store is remote. */
    private readonly snapshot: (() => Promise<object>) | null,
  ) {}

  /** Handles a request; returns false, without touching it, if it does not belong to this API. */
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
        reply(res, 200, { machines: listMachines(this.control), owner: this.control.owner });
        return true;
      case 'POST machines/3/drain':
      case 'POST machines/3/forget':
        void this.applyMachineAction(parts[1], parts[2], res);
        return true;
      case 'GET work/1/':
        reply(res, 200, listJobs(this.control.service.controller.replica, this.control.results, query));
        return true;
      case 'GET work/3/tasks':
        void this.withCurrentResults(res, parts[1], () => this.respondTasks(parts[1], res));
        return true;
      case 'GET work/3/job': {
        const job = this.control.agentJob(parts[1]);
        reply(res, job ? 200 : 404, job ?? noActiveJob);
        return true;
      }
      case 'GET work/3/analyze': {
        const analysis = this.control.analyze(parts[1]);
        reply(res, analysis ? 200 : 404, analysis ?? noActiveJob);
        return true;
      }
      case 'GET work/4/output':
        void this.withCurrentResults(res, parts[1], () =>
          this.respondOutput(parts[1], Number(parts[3]), query, res),
        );
        return true;
    }
    return false;
  }

  /** Responds after loading results that another control service may have recorded; 503 if the store is unavailable. */
  private async withCurrentResults(res: ServerResponse, job: string, respond: () => void): Promise<void> {
    try {
      await this.control.refreshResults(job);
    } catch (error) {
      return reply(res, 503, { error: messageOf(error) }, { 'Retry-After': 1 });
    }
    respond();
  }

  private async joinAgent(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const joining = parseJoinRequest(await readJson(req, maxBodyBytes));
    if (typeof joining === 'string') return reply(res, 400, { error: joining });
    try {
      const result = await this.control.pool.join(joining);
      if ('refused' in result) return reply(res, 409, { error: result.refused });
      const { reportS, leaseS, gangWaitS } = this.control.settings;
      reply(res, 200, { ...result, reportS, leaseS, gangWaitS });
    } catch (error) {
      reply(res, 503, { error: messageOf(error) });
    }
  }

  private async takeSnapshot(res: ServerResponse): Promise<void> {
    if (!this.snapshot) return reply(res, 409, { error: 'the store is elsewhere: ask it' });
    try {
      reply(res, 200, await this.snapshot());
    } catch (error) {
      reply(res, 503, { error: messageOf(error) });
    }
  }

  private async applyMachineAction(name: string, action: string, res: ServerResponse): Promise<void> {
    const { pool, service } = this.control;
    const machine = pool.find(decodeURIComponent(name));
    if (!machine) return reply(res, 404, { error: `no machine ${name}` });
    try {
      if (action === 'drain') await pool.drain(machine.host);
      else {
        await pool.forget(machine.host);
        service.enqueue({ type: 'forget-machine', host: machine.host });
      }
      reply(res, 200, { host: machine.host, [action]: true });
    } catch (error) {
      reply(res, 503, { error: messageOf(error) });
    }
  }

  private respondTasks(id: string, res: ServerResponse): void {
    const { service, results } = this.control;
    const job = jobWithTasks(service.controller.replica, results, id);
    reply(res, job ? 200 : 404, job ?? { error: 'no such job' });
  }

  /** Proxies a task's output, which stays on the machine where the attempt ran. */
  private respondOutput(id: string, index: number, query: URLSearchParams, res: ServerResponse): void {
    const { results, pool, service } = this.control;
    const location = locateTask(service.controller.replica, results, id, index);
    if (!location)
      return reply(res, 404, { error: `${id}/${index}: has not run yet, or there is no such task` });
    const { host, attempt } = location;
    const endpoint = pool.get(host)?.endpoint;
    if (!endpoint)
      return reply(res, 503, { error: `${id}/${index}: its output is on ${host}, which is not here now` });
    const stream = query.get('stream') === 'stderr' ? 'stderr' : 'stdout';
    proxyOutput({ job: id, index, attempt, stream, host, endpoint }, res);
  }
}

const messageOf = (error: unknown): string => String((error as Error).message);
