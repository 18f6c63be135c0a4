import { JsonClient } from '../net/client.js';
import {
  deleteOut,
  parseList,
  parseRented,
  parseTypes,
  rentOut,
  type ListedMachine,
  type RentRequest,
} from '../wire/cloud.js';
import type { MachineType } from '../model/machine.js';

const maxPageItems = 500;

/** The cloud as the core needs it, or what stands in its place. */
export interface CloudProvider {
  listMachineTypes(): Promise<MachineType[] | null>;
  rentMachines(request: RentRequest): Promise<{ hosts: string[] } | 'none' | 'refused' | 'unknown'>;
  /** True: the machines, and all that was on them, are gone. */
  deleteMachines(hosts: string[]): Promise<boolean>;
  listMachines(): Promise<ListedMachine[] | null>;
}

/** The cloud as the core sees it. Its rate is kept by the core. */
export class HttpCloudProvider implements CloudProvider {
  private readonly client: JsonClient;

  constructor(
    addr: string,
    /** How long an answer is waited for. */
    private readonly timeoutMs: number,
  ) {
    this.client = new JsonClient(addr, 4);
  }

  async listMachineTypes(): Promise<MachineType[] | null> {
    const r = await this.client.call('GET', '/machine_types', null, this.timeoutMs);
    return r?.status === 200 ? parseTypes(r.body) : null;
  }

  async rentMachines(request: RentRequest): Promise<{ hosts: string[] } | 'none' | 'refused' | 'unknown'> {
    const r = await this.client.call('POST', '/rentals', rentOut(request), this.timeoutMs);
    if (r === null) return 'unknown';
    if (r.status === 200) {
      const hosts = parseRented(r.body);
      return hosts === null ? 'unknown' : { hosts };
    }
    if (r.status === 503)
      return (r.body as { error?: unknown } | null)?.error === 'no capacity' ? 'none' : 'refused';
    return r.status === 429 || r.status === 400 ? 'refused' : 'unknown';
  }

  async deleteMachines(hosts: string[]): Promise<boolean> {
    const r = await this.client.call('POST', '/rentals/delete', deleteOut(hosts), this.timeoutMs);
    return r?.status === 200;
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (let from = ''; ;) {
      const path = `/rentals?${from === '' ? '' : `from=${from}&`}limit=${maxPageItems}`;
      const r = await this.client.call('GET', path, null, this.timeoutMs);
      const page = r?.status === 200 ? parseList(r.body) : null;
      if (!page) return null;
      all.push(...page.machines);
      if (!page.more || page.machines.length === 0) return all;
      from = page.machines[page.machines.length - 1].host;
    }
  }
}
