/** Keys of the records in the state service. All share one prefix, so that a single watch covers them. */
import type { Kind } from '../../formats/index.js';

/** Prefix of all keys; the watch is set on it. */
export const keyPrefix = 'dp/';
/** The leader record below feature level 2. */
export const legacyLeaderKey = 'dp/lead';
/** The machine types below feature level 2. */
export const legacyMachineTypesKey = 'dp/types';
/** The assignment of teams to shards. */
export const teamShardsKey = 'dp/teams';
/** The leader record from feature level 2 on, at a key that programs without feature levels do not read. */
export const leaderKey = 'dp/chief';
/** The machine types from feature level 2 on, at a key that programs without feature levels do not read. */
export const machineTypesKey = 'dp/kinds';
/** The feature level in force, and the level at which records are written. */
export const levelKey = 'dp/level';
/** The capabilities that each member last reported. */
export const membersKey = 'dp/members';
/** The feature level that operators have requested. */
export const requestedLevelKey = 'dp/wish';
/** Prefix of the record that identifies the incarnation of the stored state, from feature level 4 on. */
export const incarnationPrefix = 'dp/inc/';
/** The record of an incarnation. */
export const incarnationKey = (n: number): string => `${incarnationPrefix}${n}`;
/** The write allocation: how many writes per second each member may make. From feature level 3 on. */
export const allocationKey = 'dp/plan';
/** A member's presence record, attached to its lease. */
export const presenceKey = (member: string): string => `dp/node/${member}`;
/** The grant of a shard: the record that names its owner. */
export const shardKey = (shard: number): string => `dp/shard/${shard}`;
/** The machines of one rental, which share a record. */
export const blockKey = (block: string): string => `dp/b/${block}`;
/** A single machine's record. */
export const machineKey = (host: string): string => `dp/m/${host}`;
/** A job's record. */
export const jobKey = (id: string): string => `dp/j/${id}`;
/** A record of a shard's task log: `shardRevision` is the revision of the shard grant that it was written under. */
export const taskLogKey = (shard: number, shardRevision: number, sequence: number): string =>
  `dp/log/${shard}/${shardRevision}-${sequence}`;
/** The state of one chunk of a job's tasks. */
export const chunkKey = (id: string, chunk: number): string => `dp/t/${id}/${chunk}`;

const singletons = ['lead', 'types', 'teams', 'chief', 'kinds', 'level', 'members', 'wish', 'plan'] as const;
type Singleton = (typeof singletons)[number];

/**
 * A parsed key. `lead` and `chief` are the leader record, `types` and `kinds` the machine types (below level 2 and from it on),
 * `wish` is the requested feature level, `plan` the write allocation and `inc` an incarnation.
 */
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

/** The format of the record at a key: the leader record and the machine types moved to other keys at level 2 unchanged. */
export const recordKindOf = (ref: ParsedKey): Kind =>
  ref.kind === 'chief' ? 'lead' : ref.kind === 'kinds' ? 'types' : ref.kind;

/** Parses a key; null if it is not one of this program's. */
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
