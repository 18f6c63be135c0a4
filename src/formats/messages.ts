/** The formats of messages between controllers. */

/**
 * The message formats that this program reads. Fields may be added within a format: programs that do not know them skip them. A
 * change that older programs could misread needs a new format number. Each side announces the formats that it reads in its hello
 * message; programs that announce none read format 1 only.
 */
export const messageFormats = { least: 1, most: 1 };

/** The range of message formats that a program reads. */
export interface MessageFormatRange {
  least: number;
  most: number;
}

/** The newest format that both controllers read; null: they have none in common. */
export function commonMessageFormat(
  theirs: MessageFormatRange,
  ours: MessageFormatRange = messageFormats,
): number | null {
  const format = Math.min(theirs.most, ours.most);
  return format >= theirs.least && format >= ours.least ? format : null;
}
