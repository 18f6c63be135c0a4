/** The public API of the library, to run, embed or test a controller. */
export { parseSettings, loadSettings, SettingsError, type Settings } from './config/settings.js';
export {
  parseOperatorSettings as parseOperators,
  loadOperatorSettings as loadOperators,
  operatorDefaults as defaults,
  type OperatorSettings as Operators,
} from './config/operators.js';
export { Controller } from './core/controller.js';
export { Service } from './service.js';
export type { Command, Effect, Clock, Log } from './core/effects.js';
export * as policy from './policy/helios.js';
