/** Where things are kept in the state service. Everything is under one prefix, so one watch sees it all. */
export const prefix = 'dp/';
export const leadKey = 'dp/lead';
export const typesKey = 'dp/types';
export const teamsKey = 'dp/teams';
/** Leadership and machine types from level 2 on, where programs that know no levels do not see them. */
export const chiefKey = 'dp/chief';
export const kindsKey = 'dp/kinds';
/** The level in force, what members were last seen with, and what operators want of both. */
export const levelKey = 'dp/level';
export const membersKey = 'dp/members';
export const wishKey = 'dp/wish';
/** The incarnation of the state that this is, from level 4 on. */
export const incPrefix = 'dp/inc/';
export const incKey = (n: number): string => `${incPrefix}${n}`;
/** Who may write how much, from level 3 on. */
export const allocationKey = 'dp/plan';
export const nodeKey = (member: string): string => `dp/node/${member}`;
export const shardKey = (shard: number): string => `dp/shard/${shard}`;
/** The machines of one rental. */
export const blockKey = (block: string): string => `dp/b/${block}`;
export const machineKey = (host: string): string => `dp/m/${host}`;
export const jobKey = (id: string): string => `dp/j/${id}`;
/** A record of a shard's task log: the grant that it was written under, and its number there. */
export const logKey = (shard: number, grant: number, n: number): string => `dp/log/${shard}/${grant}-${n}`;
export const chunkKey = (id: string, chunk: number): string => `dp/t/${id}/${chunk}`;

const singles = ['lead', 'types', 'teams', 'chief', 'kinds', 'level', 'members', 'wish', 'plan'] as const;
type Single = (typeof singles)[number];

export type KeyRef =
  | { kind: Single }
  | { kind: 'node'; member: string }
  | { kind: 'shard'; shard: number }
  | { kind: 'inc'; n: number }
  | { kind: 'block'; block: string }
  | { kind: 'machine'; host: string }
  | { kind: 'job'; id: string }
  | { kind: 'chunk'; id: string; chunk: number }
  | { kind: 'log'; shard: number };

export function readKey(key: string): KeyRef | null {
  const [root, kind, a, b] = key.split('/');
  if (root !== 'dp') return null;
  if (a === undefined) return singles.includes(kind as Single) ? { kind: kind as Single } : null;
  if (kind === 'node') return { kind, member: a };
  if (kind === 'shard') return { kind, shard: Number(a) };
  if (kind === 'inc') return { kind, n: Number(a) };
  if (kind === 'b') return { kind: 'block', block: a };
  if (kind === 'm') return { kind: 'machine', host: a };
  if (kind === 'j') return { kind: 'job', id: a };
  if (kind === 'log' && b !== undefined) return { kind, shard: Number(a) };
  if (kind === 't' && b !== undefined) return { kind: 'chunk', id: a, chunk: Number(b) };
  return null;
}
