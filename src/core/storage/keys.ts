/** Where things are kept in the state service. Everything is under one prefix, so one watch sees it all. */
import type { Kind } from '../../formats/index.js';

/** All keys begin with this, so that one watch sees all changes. */
export const keyPrefix = 'dp/';
/** The leader record below level 2. */
export const legacyLeaderKey = 'dp/lead';
/** Machine types below level 2. */
export const legacyMachineTypesKey = 'dp/types';
/** Which teams belong to which shard. */
export const teamShardsKey = 'dp/teams';
/** Leadership and machine types from level 2 on, where programs that know no levels do not see them. */
export const leaderKey = 'dp/chief';
/** Machine types from level 2 on. */
export const machineTypesKey = 'dp/kinds';
/** The level in force, what members were last seen with, and what operators want of both. */
export const levelKey = 'dp/level';
/** The capabilities that members were last seen with. */
export const membersKey = 'dp/members';
/** The feature level that operators request. */
export const requestedLevelKey = 'dp/wish';
/** The incarnation of the state that this is, from level 4 on. */
export const incarnationPrefix = 'dp/inc/';
/** The record of an incarnation. */
export const incarnationKey = (n: number): string => `${incarnationPrefix}${n}`;
/** Who may write how much, from level 3 on. */
export const allocationKey = 'dp/plan';
/** A member's presence, attached to its lease. */
export const presenceKey = (member: string): string => `dp/node/${member}`;
/** The grant of a shard. */
export const shardKey = (shard: number): string => `dp/shard/${shard}`;
/** The machines of one rental. */
export const blockKey = (block: string): string => `dp/b/${block}`;
/** A machine's own record. */
export const machineKey = (host: string): string => `dp/m/${host}`;
/** A job. */
export const jobKey = (id: string): string => `dp/j/${id}`;
/** A record of a shard's task log: the grant that it was written under, and its number there. */
export const taskLogKey = (shard: number, shardRevision: number, sequence: number): string =>
  `dp/log/${shard}/${shardRevision}-${sequence}`;
/** The state of a chunk of a job's tasks. */
export const chunkKey = (id: string, chunk: number): string => `dp/t/${id}/${chunk}`;

const singletons = ['lead', 'types', 'teams', 'chief', 'kinds', 'level', 'members', 'wish', 'plan'] as const;
type Singleton = (typeof singletons)[number];

/** What a key is of. */
export type ParsedKey =
  | { kind: Singleton }
  | { kind: 'node'; member: string }
  | { kind: 'shard'; shard: number }
  | { kind: 'inc'; n: number }
  | { kind: 'block'; block: string }
  | { kind: 'machine'; host: string }
  | { kind: 'job'; id: string }
  | { kind: 'chunk'; id: string; chunk: number }
  | { kind: 'log'; shard: number };

/** The kind of record under a key: two kinds moved to other keys with level 2 and kept their formats. */
export const recordKindOf = (ref: ParsedKey): Kind =>
  ref.kind === 'chief' ? 'lead' : ref.kind === 'kinds' ? 'types' : ref.kind;

/** Tells what a key is of; null: none of this program's. */
export function parseKey(key: string): ParsedKey | null {
  const [root, kind, a, b] = key.split('/');
  if (root !== 'dp') return null;
  if (a === undefined) return singletons.includes(kind as Singleton) ? { kind: kind as Singleton } : null;
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
