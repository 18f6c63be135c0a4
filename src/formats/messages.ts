/**
 * The format of messages between controllers. Within a format fields may be added, which others skip; a change that others
 * could misread takes a new number. Each side says in its greeting which it reads; programs that say nothing read the first.
 */
export const messageFormats = { least: 1, most: 1 };

export interface Speaks {
  least: number;
  most: number;
}

/** The format that two controllers speak with each other, or null: they have none in common. */
export function common(theirs: Speaks, ours: Speaks = messageFormats): number | null {
  const format = Math.min(theirs.most, ours.most);
  return format >= theirs.least && format >= ours.least ? format : null;
}
