/** Formats of stored records and of messages between controllers. */
export type { Data, Format, Kind } from './record-types.js';
export { formatNumberOf, formats, inspect, type Formats, type InspectionResult } from './registry.js';
export { common, messageFormats, type Speaks } from './messages.js';
