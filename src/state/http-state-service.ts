/** The client of a remote state service. */
import type { CommitOutcome } from '../core/effects.js';
import { keyPrefix } from '../core/storage/index.js';
import { JsonClient } from '../net/client.js';
import type { Changes, Page, StateService } from './state-service.js';
import {
  encodeLeaseRequest,
  parseRevision,
  parseConflict,
  parseLeaseId,
  parsePage,
  parseChangeLog,
  scanPath,
  encodeTransaction,
  watchPath,
  type Change,
  type Transaction,
} from '../wire/store.js';

const keysPerPage = 1000;

/** A remote state service, over HTTP. */
export class HttpStateService implements StateService {
  private readonly requestClient: JsonClient;
  private readonly watchClient: JsonClient;

  constructor(
    addr: string,
    /** How long to wait for a response. */
    private readonly timeoutMs: number,
  ) {
    this.requestClient = new JsonClient(addr, 6);
    this.watchClient = new JsonClient(addr, 3);
  }

  /** Commits a transaction. */
  async commit(txn: Transaction): Promise<CommitOutcome> {
    const r = await this.requestClient.call('POST', '/commit', encodeTransaction(txn), this.timeoutMs);
    if (r === null) return { type: 'unknown' };
    if (r.status === 200) {
      const revision = parseRevision(r.body);
      return revision === null ? { type: 'unknown' } : { type: 'ok', revision };
    }
    if (r.status === 409) {
      const conflict = parseConflict(r.body);
      return conflict === null ? { type: 'unknown' } : { type: 'conflict', ...conflict };
    }
    if (r.status === 400) {
      const error = (r.body as { error?: unknown } | null)?.error;
      return { type: error === 'no such lease' ? 'lease-expired' : 'malformed' };
    }
    if (r.status === 429) return { type: 'rate-limited' };
    return r.status === 503 ? { type: 'rejected' } : { type: 'unknown' };
  }

  /** Grants a lease and returns its ID; null: no answer. */
  async grantLease(ttlMs: number): Promise<number | null> {
    const r = await this.requestClient.call('POST', '/leases', encodeLeaseRequest(ttlMs), this.timeoutMs);
    return r?.status === 200 ? parseLeaseId(r.body) : null;
  }

  /** Renews a lease. 'gone': it has expired or was revoked; 'failed': whether it was renewed is unknown. */
  async renewLease(leaseId: number): Promise<'ok' | 'gone' | 'failed'> {
    const r = await this.requestClient.call('POST', `/leases/${leaseId}/renew`, {}, this.timeoutMs);
    return r?.status === 200 ? 'ok' : r?.status === 404 ? 'gone' : 'failed';
  }

  /** Ends a lease, which deletes the keys attached to it. */
  async revokeLease(leaseId: number): Promise<void> {
    await this.requestClient.call('DELETE', `/leases/${leaseId}`, null, this.timeoutMs);
  }

  /** A page of the keys under the controllers' prefix, in order, after `from`; 'busy': rate limit; null: no answer. */
  async page(from: string): Promise<Page | 'busy' | null> {
    const r = await this.requestClient.call(
      'GET',
      scanPath(keyPrefix, from, keysPerPage),
      null,
      this.timeoutMs * 2,
    );
    if (r?.status === 429) return 'busy';
    return r?.status === 200 ? parsePage(r.body) : null;
  }

  /** At most `keys` keys after `from`; null: no answer. */
  async limitedPage(from: string, keys: number): Promise<Page | null> {
    const r = await this.requestClient.call('GET', scanPath(keyPrefix, from, keys), null, this.timeoutMs);
    return r?.status === 200 ? parsePage(r.body) : null;
  }

  /** All keys under any prefix; null: no answer. */
  async list(prefix: string): Promise<Change[] | null> {
    const all: Change[] = [];
    for (let from = ''; ;) {
      const r = await this.requestClient.call(
        'GET',
        scanPath(prefix, from, keysPerPage),
        null,
        this.timeoutMs * 2,
      );
      const page = r?.status === 200 ? parsePage(r.body) : null;
      if (!page) return null;
      for (const i of page.items) all.push(i);
      if (!page.more || page.items.length === 0) return all;
      from = page.items[page.items.length - 1].key;
    }
  }

  /**
   * The changes after revision `from`; if there are none yet, waits up to `blockMs` for some. 'old': the service no longer
   * remembers them; 'busy': the rate limit was exceeded; null: no answer.
   */
  async changes(from: number, blockMs: number): Promise<Changes | 'old' | 'busy' | null> {
    const path = watchPath(keyPrefix, from, blockMs);
    const r = await this.watchClient.call('GET', path, null, blockMs + this.timeoutMs);
    if (r?.status === 410) return 'old';
    if (r?.status === 429) return 'busy';
    return r?.status === 200 ? parseChangeLog(r.body) : null;
  }
}
