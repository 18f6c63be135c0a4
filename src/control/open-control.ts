/** Opens a control service: its store, embedded or remote, and the match language if it is enabled. */
import type { Log } from '../core/effects.js';
import { retryPolicies } from '../retry/index.js';
import { Store } from '../state/store.js';
import { EmbeddedStore, Engine, LevelDisk, snapshotInto, type StoreError } from '../store/index.js';
import { ControlService, type MatchingSupport } from './control.js';
import { platformSettings, type ControlSettings } from './settings.js';

/** A control service that was opened, not started yet. */
export interface OpenControl {
  readonly control: ControlService;
  /** The embedded store; null if the store is remote. */
  readonly engine: Engine | null;
  /** Stops the control service and closes its embedded store. */
  close(): Promise<void>;
}

/** Loaded only if enabled: the match language and its libraries take memory. */
async function loadMatching(settings: ControlSettings): Promise<MatchingSupport | null> {
  if (!settings.matching) return null;
  const { machineAttributes, ClassAdMatcher, matchSpecError } = await import('../matching/index.js');
  return { matcher: new ClassAdMatcher(), machineAttributes, validate: matchSpecError };
}

/** Opens the store that the settings name, and a control service on it. `onStoreFailure`: its disk accepts no writes any more. */
export async function openControl(
  settings: ControlSettings,
  log: Log,
  onStoreFailure: (error: StoreError) => void,
): Promise<OpenControl> {
  const engine =
    settings.directory === null
      ? null
      : await Engine.open(await LevelDisk.open(settings.directory), log, onStoreFailure);
  const { settings: platform, nodeLeaseRatio } = platformSettings(settings);
  const stateLeaseMs = settings.leaseS * 1000 * nodeLeaseRatio;
  const store = engine
    ? new EmbeddedStore(engine)
    : new Store(platform.endpoints.state, retryPolicies({ ...platform, stateLeaseMs }).state.timeoutMs);
  const { directory } = settings;
  const snapshot = engine && directory !== null ? () => snapshotInto(engine, directory) : null;
  const control = new ControlService({
    settings,
    store,
    log,
    snapshot,
    matching: await loadMatching(settings),
  });
  return {
    control,
    engine,
    close: async () => {
      control.stop();
      await engine?.close();
    },
  };
}
