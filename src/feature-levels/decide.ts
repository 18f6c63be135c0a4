import { legacyCapabilities, type Capabilities, type LevelState } from './feature-levels.js';

/** What operators want; all of it is optional. */
export interface RequestedLevel {
  /** No level above this. */
  maxLevel: number | null;
  /** If the level is above that: go back to it. */
  lower: boolean;
  /** Members that will not come back: they are not waited for. */
  departedMembers: string[];
  modRevision: number;
}

export const noRequestedLevel: RequestedLevel = {
  maxLevel: null,
  lower: false,
  departedMembers: [],
  modRevision: 0,
};

/** What the leader decides from. */
export interface LevelDecisionInput {
  state: LevelState;
  /** The newest level that this program knows. */
  newestLevel: number;
  /** Members by the leader's settings, itself included. */
  configured: readonly string[];
  /** What each was last seen with, as recorded, and as the leader itself has seen it, which is newer. */
  recordedCapabilities: ReadonlyMap<string, Capabilities>;
  observedCapabilities: ReadonlyMap<string, Capabilities>;
  requested: RequestedLevel;
  /** Records that only the level in force can express and that are still to be rewritten. */
  unmigratedRecords: number;
  /** Records that no lower level can express, by key. */
  blockingKeys: readonly string[];
}

export type Decision =
  /** Why it stays; nothing: there is no newer one. */
  | { do: 'stay'; why: string }
  /** What members can do has changed: to be recorded. */
  | { do: 'note'; seen: Map<string, Capabilities> }
  | { do: 'raise'; to: number; seen: Map<string, Capabilities> }
  /** Nothing that needs the level is written any more; what is stored is rewritten. */
  | { do: 'begin lowering'; to: number }
  | { do: 'lower'; to: number }
  /** Operators want what cannot be done. */
  | { do: 'refuse'; text: string };

const sameCapabilities = (a: Capabilities | undefined, b: Capabilities): boolean =>
  a !== undefined && a.program === b.program && a.minLevel === b.minLevel && a.maxLevel === b.maxLevel;

/** What each member was last seen with. */
export function latestCapabilities(s: LevelDecisionInput): Map<string, Capabilities> {
  const seen = new Map(s.recordedCapabilities);
  for (const [member, can] of s.observedCapabilities) seen.set(member, can);
  return seen;
}

/** The members that the level waits for, and those of them that cannot have a level. */
const requiredMembers = (s: LevelDecisionInput): string[] =>
  s.configured.filter((m) => !s.requested.departedMembers.includes(m));

/** One step of the level, if it is time for one. The leader carries it out on condition that nothing here has changed. */
export function decide(s: LevelDecisionInput): Decision {
  const { state, requested: wish } = s;
  const seen = latestCapabilities(s);
  const changed = [...seen].some(([m, can]) => !sameCapabilities(s.recordedCapabilities.get(m), can));
  const ceiling = wish.maxLevel ?? Infinity;
  const unable = (level: number): string[] =>
    requiredMembers(s).filter((m) => (seen.get(m) ?? legacyCapabilities).maxLevel < level);
  if (state.writeLevel < state.level) {
    // Operators have changed their mind, and nobody has come for whom it was lowered.
    const wanted = wish.lower && state.level > ceiling;
    if (!wanted && unable(state.level).length === 0) return { do: 'raise', to: state.level, seen };
    return s.unmigratedRecords === 0 ? { do: 'lower', to: state.writeLevel } : stillLowering(s);
  }
  if (state.level > ceiling) {
    if (!wish.lower)
      return changed
        ? { do: 'note', seen }
        : { do: 'stay', why: `held at ${ceiling}, but ${state.level} is in force` };
    if (s.blockingKeys.length > 0) return { do: 'refuse', text: refusalText(s) };
    return { do: 'begin lowering', to: Math.max(1, state.level - 1) };
  }
  const to = state.level + 1;
  const lacking = unable(to);
  if (to <= Math.min(s.newestLevel, ceiling) && lacking.length === 0) return { do: 'raise', to, seen };
  if (changed) return { do: 'note', seen };
  if (to > s.newestLevel) return { do: 'stay', why: '' };
  if (to > ceiling) return { do: 'stay', why: `held at ${ceiling} by operators` };
  const who = lacking.map((m) => `${m} (${seen.get(m)?.program ?? 'never seen'})`);
  return { do: 'stay', why: `waits for ${who.join(', ')}` };
}

const stillLowering = (s: LevelDecisionInput): Decision => ({
  do: 'stay',
  why: `being lowered to ${s.state.writeLevel}: ${s.unmigratedRecords} records are still to be rewritten`,
});

const maxNamedKeys = 5;

function refusalText(s: LevelDecisionInput): string {
  const named = s.blockingKeys.slice(0, maxNamedKeys).join(' ');
  return (
    `not lowered: ${s.blockingKeys.length} records cannot be expressed at level ${s.state.level - 1}: ${named}` +
    (s.blockingKeys.length > maxNamedKeys ? ' ...' : '') +
    '; start the newest program again on all members, or have these jobs end or drop these keys first'
  );
}
