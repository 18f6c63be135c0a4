/** Kinds of durable records. */
export type Kind =
  | 'node'
  | 'lead'
  | 'types'
  | 'teams'
  | 'shard'
  | 'block'
  | 'machine'
  | 'job'
  | 'chunk'
  | 'level'
  | 'members'
  | 'wish'
  | 'plan'
  | 'inc'
  | 'log';

export type Data = Record<string, unknown>;

/** One format of a kind of record: the fields that it has, and what is wrong with a record of it, or null. */
export interface Format {
  fields: ReadonlySet<string>;
  wrong(data: Data): string | null;
}

/** Fields that any record may have: its format's number (none: 1), and the mark of the write that made it. */
const commonFields = ['v', 'w'];

export const fieldSet = (...names: string[]): ReadonlySet<string> => new Set([...commonFields, ...names]);
