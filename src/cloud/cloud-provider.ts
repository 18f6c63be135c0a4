/** The cloud's HTTP API: machine types, and the machines that are requested, listed and deleted. */
import { JsonClient } from '../net/client.js';
import {
  encodeDeletion,
  parseMachineList,
  parseRental,
  parseMachineTypes,
  encodeRental,
  type ListedMachine,
  type RentalOutcome,
  type RentRequest,
} from '../wire/cloud.js';
import type { MachineType } from '../model/machine.js';

const pageSize = 500;
const maxSockets = 4;

/** A provider of machines: the cloud, or what stands in its place. */
export interface CloudProvider {
  /** The machine types on offer; null: no answer. */
  listMachineTypes(): Promise<MachineType[] | null>;
  /** Requests machines. Requests of the same name are idempotent. */
  rentMachines(request: RentRequest): Promise<RentalOutcome>;
  /** True: the machines, and all tasks that were on them, are gone. */
  deleteMachines(hosts: string[]): Promise<boolean>;
  /** All machines that are there; null: no answer. */
  listMachines(): Promise<ListedMachine[] | null>;
}

/** The cloud's API over HTTP. Its request limit is kept by the autoscaler. */
export class HttpCloudProvider implements CloudProvider {
  private readonly client: JsonClient;

  constructor(
    address: string,
    /** After this long a request counts as unanswered. */
    private readonly timeoutMs: number,
  ) {
    this.client = new JsonClient(address, maxSockets);
  }

  /** See {@link CloudProvider}. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    const reply = await this.client.call('GET', '/machine_types', null, this.timeoutMs);
    return reply?.status === 200 ? parseMachineTypes(reply.body) : null;
  }

  /** See {@link CloudProvider}. */
  async rentMachines(request: RentRequest): Promise<RentalOutcome> {
    const reply = await this.client.call('POST', '/rentals', encodeRental(request), this.timeoutMs);
    switch (reply?.status) {
      case 200: {
        const hosts = parseRental(reply.body);
        return hosts === null ? { type: 'unknown' } : { type: 'rented', hosts };
      }
      case 503: {
        const { error } = (reply.body ?? {}) as { error?: unknown };
        return { type: error === 'no capacity' ? 'no-capacity' : 'rejected' };
      }
      case 429:
      case 400:
        return { type: 'rejected' };
      default:
        return { type: 'unknown' };
    }
  }

  /** See {@link CloudProvider}. */
  async deleteMachines(hosts: string[]): Promise<boolean> {
    const reply = await this.client.call('POST', '/rentals/delete', encodeDeletion(hosts), this.timeoutMs);
    return reply?.status === 200;
  }

  /** See {@link CloudProvider}. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (let cursor = ''; ;) {
      const path = `/rentals?${cursor === '' ? '' : `from=${cursor}&`}limit=${pageSize}`;
      const reply = await this.client.call('GET', path, null, this.timeoutMs);
      const page = reply?.status === 200 ? parseMachineList(reply.body) : null;
      if (!page) return null;
      machines.push(...page.machines);
      if (!page.more || page.machines.length === 0) return machines;
      cursor = page.machines[page.machines.length - 1].host;
    }
  }
}
