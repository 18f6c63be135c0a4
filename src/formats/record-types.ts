/** What a format of a durable record consists of. */

/** The kinds of durable records. */
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

/** A stored record, as decoded from JSON. */
export type Data = Record<string, unknown>;

/** One format of a kind of record. `fields`: the fields that it defines; `findError`: returns what is wrong with a record; null: nothing. */
export interface Format {
  fields: ReadonlySet<string>;
  findError(data: Data): string | null;
}

/** Fields that any record may have. `v`: the number of its format (absent: 1); `w`: the ID of the write that stored it. */
const commonFields = ['v', 'w'];

/** A format's own fields, and those that any record may have. */
export const fieldSet = (...names: string[]): ReadonlySet<string> => new Set([...commonFields, ...names]);
