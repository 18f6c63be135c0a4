export { ControlService } from './control.js';
export { openControl, type OpenControl } from './open-control.js';
export { parseControlSettings, platformOf, type ControlSettings } from './settings.js';
