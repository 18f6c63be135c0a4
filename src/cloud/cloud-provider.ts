/** Client of the cloud's HTTP API: lists machine types, and rents, lists and deletes machines. */
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

/** A provider of machines: the cloud, or a replacement such as a pool of agents. */
export interface CloudProvider {
  /** The available machine types; null: no response. */
  listMachineTypes(): Promise<MachineType[] | null>;
  /** Rents machines. Repeating a request with the same name has no further effect. */
  rentMachines(request: RentRequest): Promise<RentalOutcome>;
  /** Deletes machines. Returns true if the machines, and all tasks on them, are gone; false if that is unknown. */
  deleteMachines(hosts: string[]): Promise<boolean>;
  /** All machines that exist; null: no response. */
  listMachines(): Promise<ListedMachine[] | null>;
}

/** The cloud's API over HTTP. The autoscaler enforces the API's request limit. */
export class HttpCloudProvider implements CloudProvider {
  private readonly client: JsonClient;

  constructor(
    address: string,
    /** The time that requests wait for a response, ms. */
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
