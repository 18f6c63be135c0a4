/** The stored records about the feature level, as `dapplepick level` reads and changes them. */
import {
  levelKey,
  membersKey,
  readLevel,
  readMembers,
  readPresence,
  readRequestedLevel,
  requestedLevelData,
  requestedLevelKey,
} from '../core/storage/index.js';
import {
  initialLevelState,
  noRequestedLevel,
  type Capabilities,
  type LevelState,
  type RequestedLevel,
} from '../feature-levels/index.js';
import { Store } from '../state/store.js';
import type { Change } from '../wire/store.js';
import type { Fail } from './exit.js';

const requestTimeoutMs = 5000;
/** Keys of members that are present end with the member's name. */
const nodePrefix = 'dp/node/';

/** Reads the records, and writes the operators' request. Failures end the program. */
export class LevelStore {
  private readonly store: Store;

  constructor(
    addr: string,
    private readonly fail: Fail,
  ) {
    this.store = new Store(addr, requestTimeoutMs);
  }

  private async listKeys(prefix: string): Promise<Change[]> {
    return (await this.store.list(prefix)) ?? this.fail('no answer from the state service');
  }

  private async readKey(key: string): Promise<Change | undefined> {
    return (await this.listKeys(key)).find((change) => change.key === key);
  }

  /** The level in force. */
  async level(): Promise<LevelState> {
    const record = await this.readKey(levelKey);
    return record ? readLevel(record.data, record.stamp) : initialLevelState;
  }

  /** What operators have requested. */
  async requestedLevel(): Promise<RequestedLevel> {
    const record = await this.readKey(requestedLevelKey);
    return record ? readRequestedLevel(record.data, record.stamp) : noRequestedLevel;
  }

  /** What each member was last seen with, and the leader's note about the request. */
  async members(): Promise<ReturnType<typeof readMembers>> {
    const record = await this.readKey(membersKey);
    return record ? readMembers(record.data) : { capabilities: new Map(), note: null };
  }

  /** The capabilities of the members that are present. */
  async presentMembers(): Promise<Map<string, Capabilities>> {
    const nodes = await this.listKeys(nodePrefix);
    return new Map(
      nodes.map(({ key, data, stamp }) => {
        const member = key.slice(nodePrefix.length);
        return [member, readPresence(member, data, stamp).capabilities];
      }),
    );
  }

  /** Changes the operators' request; the revision of the change. */
  async updateRequest(change: (current: RequestedLevel) => Partial<RequestedLevel>): Promise<number> {
    const current = await this.requestedLevel();
    const outcome = await this.store.commit({
      conditions: [{ key: requestedLevelKey, stamp: current.modRevision }],
      writes: [{ key: requestedLevelKey, data: requestedLevelData({ ...current, ...change(current) }) }],
    });
    if (outcome.type === 'ok') return outcome.revision;
    return this.fail(
      outcome.type === 'conflict'
        ? 'somebody else has just changed it: look again'
        : `not written: ${outcome.type}`,
    );
  }
}
