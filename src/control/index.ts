/** The public interface of the control service: opening it, and its settings. */
export { ControlService } from './control.js';
export { openControl, type OpenControl } from './open-control.js';
export { parseControlSettings, deriveCoreSettings, type ControlSettings } from './settings.js';
