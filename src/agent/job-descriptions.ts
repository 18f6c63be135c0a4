/** Fetches and caches job descriptions, which the agent needs before it runs a job's tasks. */
import { parseAgentJob, type AgentJob } from '../wire/agent.js';
import type { ControlClient } from './control-client.js';

/** The maximum number of cached descriptions; further ones are not cached. */
const maxCachedDescriptions = 1000;

/** A job's description; 'unknown' if the job has ended or never existed; null if there was no usable response. */
export type FetchedJob = AgentJob | 'unknown' | null;

/** Fetches job descriptions. The tasks of a job share one request and its response. */
export class JobDescriptions {
  private readonly requests = new Map<string, Promise<FetchedJob>>();

  constructor(private readonly client: ControlClient) {}

  /** Returns the description of a job, from the cache if it was fetched before. */
  async fetch(id: string): Promise<FetchedJob> {
    const cached = this.requests.get(id);
    if (cached) return cached;
    const request = this.request(id);
    this.requests.set(id, request);
    const job = await request;
    // Failures are not cached, so that the next call retries.
    if (job === null || job === 'unknown' || this.requests.size > maxCachedDescriptions)
      this.requests.delete(id);
    return job;
  }

  private async request(id: string): Promise<FetchedJob> {
    const response = await this.client.call('GET', `/work/${id}/job`, null);
    if (response?.status === 404) return 'unknown';
    return response?.status === 200 ? parseAgentJob(response.body) : null;
  }
}
