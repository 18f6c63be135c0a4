/** Opens a control service together with its embedded or remote store, and with matching support if it is enabled. */
import type { Log } from '../core/effects.js';
import { retryPolicies } from '../retry/index.js';
import { HttpStateService } from '../state/http-state-service.js';
import { EmbeddedStore, Engine, LevelDisk, snapshotInto, type StoreError } from '../store/index.js';
import { ControlService, type MatchingSupport } from './control.js';
import { deriveCoreSettings, type ControlSettings } from './settings.js';

/** A control service that is open but not started. */
export interface OpenControl {
  readonly control: ControlService;
  /** The embedded store; null if the store is remote. */
  readonly engine: Engine | null;
  /** Stops the control service and closes its embedded store. */
  close(): Promise<void>;
}

/** Loads matching support only if it is enabled, because the match language and its libraries use memory. */
async function loadMatching(settings: ControlSettings): Promise<MatchingSupport | null> {
  if (!settings.matching) return null;
  const { machineAttributes, ClassAdMatcher, matchSpecError } = await import('../matching/index.js');
  return { matcher: new ClassAdMatcher(), machineAttributes, validate: matchSpecError };
}

/**
 * Opens the store that the settings specify, and a control service on it. `onStoreFailure` is called if the embedded store's
 * disk stops accepting writes.
 */
export async function openControl(
  settings: ControlSettings,
  log: Log,
  onStoreFailure: (error: StoreError) => void,
): Promise<OpenControl> {
  const engine =
    settings.directory === null
      ? null
      : await Engine.open(await LevelDisk.open(settings.directory), log, onStoreFailure);
  const { settings: coreSettings, nodeLeaseRatio } = deriveCoreSettings(settings);
  const stateLeaseMs = settings.leaseS * 1000 * nodeLeaseRatio;
  const store = engine
    ? new EmbeddedStore(engine)
    : new HttpStateService(
        coreSettings.endpoints.state,
        retryPolicies({ ...coreSettings, stateLeaseMs }).state.timeoutMs,
      );
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
