/** The descriptions of jobs that the agent fetches from the control service before it runs their tasks. */
import { parseAgentJob, type AgentJob } from '../wire/agent-side.js';
import type { ControlClient } from './control-client.js';

/** More descriptions than that are not cached. */
const maxCached = 1000;

/** A job's description; 'unknown' if the job has ended or never existed; null if there was no usable response. */
export type FetchedJob = AgentJob | 'unknown' | null;

/** Fetches descriptions. Tasks of one job share a request and its response. */
export class JobDescriptions {
  private readonly requests = new Map<string, Promise<FetchedJob>>();

  constructor(private readonly control: ControlClient) {}

  /** The description of a job, cached if it was fetched before. */
  async fetch(id: string): Promise<FetchedJob> {
    const known = this.requests.get(id);
    if (known) return known;
    const request = this.request(id);
    this.requests.set(id, request);
    const job = await request;
    // Only descriptions are cached: failures are retried.
    if (job === null || job === 'unknown' || this.requests.size > maxCached) this.requests.delete(id);
    return job;
  }

  private async request(id: string): Promise<FetchedJob> {
    const response = await this.control.call('GET', `/work/${id}/job`, null);
    if (response?.status === 404) return 'unknown';
    return response?.status === 200 ? parseAgentJob(response.body) : null;
  }
}
