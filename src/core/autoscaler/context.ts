/** Dependencies shared by the components of the autoscaler. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import type { Clock, Log } from '../effects.js';
import type { Replica } from '../replica.js';

/** The controller's state and settings, as used by every component of the autoscaler. */
export interface AutoscalerContext {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly replica: Replica;
  readonly clock: Clock;
  readonly log: Log;
}
