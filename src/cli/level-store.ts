/** Reads and writes the stored records about the feature level for `dapplepick level`. */
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
import { HttpStateService } from '../state/http-state-service.js';
import type { Change } from '../wire/store.js';
import type { Fail } from './exit.js';

const requestTimeoutMs = 5000;
/** Prefix of the keys of present members; the member's name follows it. */
const presencePrefix = 'dp/node/';

/** Reads the records about the feature level, and writes the operators' request. Failures end the program. */
export class LevelStore {
  private readonly store: HttpStateService;

  constructor(
    addr: string,
    private readonly fail: Fail,
  ) {
    this.store = new HttpStateService(addr, requestTimeoutMs);
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

  /** The operators' request. */
  async requestedLevel(): Promise<RequestedLevel> {
    const record = await this.readKey(requestedLevelKey);
    return record ? readRequestedLevel(record.data, record.stamp) : noRequestedLevel;
  }

  /** The capabilities last recorded for each member, and the leader's note about the operators' request. */
  async members(): Promise<ReturnType<typeof readMembers>> {
    const record = await this.readKey(membersKey);
    return record ? readMembers(record.data) : { capabilities: new Map(), note: null };
  }

  /** The capabilities of the members that are present. */
  async presentMembers(): Promise<Map<string, Capabilities>> {
    const presenceRecords = await this.listKeys(presencePrefix);
    return new Map(
      presenceRecords.map(({ key, data, stamp }) => {
        const member = key.slice(presencePrefix.length);
        return [member, readPresence(member, data, stamp).capabilities];
      }),
    );
  }

  /** Changes the operators' request and returns the revision of the change. */
  async updateRequest(change: (current: RequestedLevel) => Partial<RequestedLevel>): Promise<number> {
    const current = await this.requestedLevel();
    const outcome = await this.store.commit({
      conditions: [{ key: requestedLevelKey, stamp: current.modRevision }],
      writes: [{ key: requestedLevelKey, data: requestedLevelData({ ...current, ...change(current) }) }],
    });
    if (outcome.type === 'ok') return outcome.revision;
    return this.fail(
      outcome.type === 'conflict'
        ? 'the requested level was changed concurrently: check `dapplepick level show` and try again'
        : `the requested level was not stored: ${outcome.type}`,
    );
  }
}
