/** Formats of stored records and of messages between controllers. */
export type { Data, Format, Kind } from './record-types.js';
export { formatNumberOf, formats, inspectRecord, type Formats, type InspectionResult } from './registry.js';
export { commonMessageFormat, messageFormats, type MessageFormatRange } from './messages.js';
