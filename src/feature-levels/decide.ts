import { unaware, type Ability, type LevelState } from './feature-levels.js';

/** What operators want; all of it is optional. */
export interface Wish {
  /** No level above this. */
  most: number | null;
  /** If the level is above that: go back to it. */
  lower: boolean;
  /** Members that will not come back: they are not waited for. */
  gone: string[];
  stamp: number;
}

export const noWish: Wish = { most: null, lower: false, gone: [], stamp: 0 };

/** What the leader decides from. */
export interface Standing {
  state: LevelState;
  /** The newest level that this program knows. */
  newest: number;
  /** Members by the leader's settings, itself included. */
  configured: readonly string[];
  /** What each was last seen with, as recorded, and as the leader itself has seen it, which is newer. */
  seen: ReadonlyMap<string, Ability>;
  witnessed: ReadonlyMap<string, Ability>;
  wish: Wish;
  /** Records that only the level in force can express and that are still to be rewritten. */
  newer: number;
  /** Records that no lower level can express, by key. */
  stuck: readonly string[];
}

export type Decision =
  /** Why it stays; nothing: there is no newer one. */
  | { do: 'stay'; why: string }
  /** What members can do has changed: to be recorded. */
  | { do: 'note'; seen: Map<string, Ability> }
  | { do: 'raise'; to: number; seen: Map<string, Ability> }
  /** Nothing that needs the level is written any more; what is stored is rewritten. */
  | { do: 'begin lowering'; to: number }
  | { do: 'lower'; to: number }
  /** Operators want what cannot be done. */
  | { do: 'refuse'; text: string };

const same = (a: Ability | undefined, b: Ability): boolean =>
  a !== undefined && a.program === b.program && a.least === b.least && a.most === b.most;

/** What each member was last seen with. */
export function lastSeen(s: Standing): Map<string, Ability> {
  const seen = new Map(s.seen);
  for (const [member, can] of s.witnessed) seen.set(member, can);
  return seen;
}

/** The members that the level waits for, and those of them that cannot have a level. */
const counted = (s: Standing): string[] => s.configured.filter((m) => !s.wish.gone.includes(m));

/** One step of the level, if it is time for one. The leader carries it out on condition that nothing here has changed. */
export function decide(s: Standing): Decision {
  const { state, wish } = s;
  const seen = lastSeen(s);
  const changed = [...seen].some(([m, can]) => !same(s.seen.get(m), can));
  const ceiling = wish.most ?? Infinity;
  const unable = (level: number): string[] => counted(s).filter((m) => (seen.get(m) ?? unaware).most < level);
  if (state.write < state.level) {
    // Operators have changed their mind, and nobody has come for whom it was lowered.
    const wanted = wish.lower && state.level > ceiling;
    if (!wanted && unable(state.level).length === 0) return { do: 'raise', to: state.level, seen };
    return s.newer === 0 ? { do: 'lower', to: state.write } : finishing(s);
  }
  if (state.level > ceiling) {
    if (!wish.lower)
      return changed
        ? { do: 'note', seen }
        : { do: 'stay', why: `held at ${ceiling}, but ${state.level} is in force` };
    if (s.stuck.length > 0) return { do: 'refuse', text: refusal(s) };
    return { do: 'begin lowering', to: Math.max(1, state.level - 1) };
  }
  const to = state.level + 1;
  const lacking = unable(to);
  if (to <= Math.min(s.newest, ceiling) && lacking.length === 0) return { do: 'raise', to, seen };
  if (changed) return { do: 'note', seen };
  if (to > s.newest) return { do: 'stay', why: '' };
  if (to > ceiling) return { do: 'stay', why: `held at ${ceiling} by operators` };
  const who = lacking.map((m) => `${m} (${seen.get(m)?.program ?? 'never seen'})`);
  return { do: 'stay', why: `waits for ${who.join(', ')}` };
}

const finishing = (s: Standing): Decision => ({
  do: 'stay',
  why: `being lowered to ${s.state.write}: ${s.newer} records are still to be rewritten`,
});

const mostNamed = 5;

function refusal(s: Standing): string {
  const named = s.stuck.slice(0, mostNamed).join(' ');
  return (
    `not lowered: ${s.stuck.length} records cannot be expressed at level ${s.state.level - 1}: ${named}` +
    (s.stuck.length > mostNamed ? ' ...' : '') +
    '; start the newest program again on all members, or have these jobs end or drop these keys first'
  );
}
