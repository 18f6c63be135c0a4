/** Decides when the feature level in force is raised or lowered. Pure; the leader carries decisions out. */
import { legacyCapabilities, type Capabilities, type LevelState } from './feature-levels.js';

/** What operators request of the level; all of it is optional. */
export interface RequestedLevel {
  /** No level above this; null: no limit. */
  readonly maxLevel: number | null;
  /** If the level in force is above the limit: go back to it. */
  readonly lower: boolean;
  /** Members that will not come back: they are not waited for. */
  readonly departedMembers: readonly string[];
  readonly modRevision: number;
}

/** Operators request nothing. */
export const noRequestedLevel: RequestedLevel = {
  maxLevel: null,
  lower: false,
  departedMembers: [],
  modRevision: 0,
};

/** What the leader decides from. */
export interface LevelDecisionInput {
  readonly state: LevelState;
  /** The newest level that this program knows. */
  readonly newestLevel: number;
  /** The members that a rise waits for, by the leader's settings, itself included. */
  readonly configured: readonly string[];
  /** What each member was last seen with, as recorded, and as the leader itself has seen it, which is newer. */
  readonly recordedCapabilities: ReadonlyMap<string, Capabilities>;
  readonly observedCapabilities: ReadonlyMap<string, Capabilities>;
  readonly requested: RequestedLevel;
  /** How many records that only the level in force can express are still to be rewritten. */
  readonly unmigratedRecords: number;
  /** Keys of records that no lower level can express. */
  readonly blockingKeys: readonly string[];
}

/** What the leader is to do about the level. */
export type Decision =
  /** `why` is empty if there is no newer level. */
  | { readonly type: 'stay'; readonly why: string }
  /** Members' capabilities have changed, and are to be recorded. */
  | { readonly type: 'record-capabilities'; readonly capabilities: Map<string, Capabilities> }
  | { readonly type: 'raise'; readonly to: number; readonly capabilities: Map<string, Capabilities> }
  /** From now on nothing that needs the level is written, and what is stored is rewritten. */
  | { readonly type: 'begin-lowering'; readonly to: number }
  | { readonly type: 'lower'; readonly to: number }
  /** Operators request what cannot be done. */
  | { readonly type: 'refuse'; readonly text: string };

const sameCapabilities = (a: Capabilities | undefined, b: Capabilities): boolean =>
  a !== undefined && a.program === b.program && a.minLevel === b.minLevel && a.maxLevel === b.maxLevel;

/** What each member was last seen with. */
const latestCapabilities = (input: LevelDecisionInput): Map<string, Capabilities> =>
  new Map([...input.recordedCapabilities, ...input.observedCapabilities]);

/** One step of the level, if it is time for one. It is carried out on condition that nothing of the input has changed. */
export function decide(input: LevelDecisionInput): Decision {
  const { state, requested } = input;
  const capabilities = latestCapabilities(input);
  if (state.writeLevel < state.level) return decideWhileLowering(input, capabilities);
  if (state.level > (requested.maxLevel ?? Infinity)) return decideAboveLimit(input, capabilities);
  return decideRise(input, capabilities);
}

type CapabilitiesByMember = Map<string, Capabilities>;

/** Required members that do not have a level. */
function membersWithout(level: number, input: LevelDecisionInput, latest: CapabilitiesByMember): string[] {
  const { configured, requested } = input;
  return configured
    .filter((member) => !requested.departedMembers.includes(member))
    .filter((member) => (latest.get(member) ?? legacyCapabilities).maxLevel < level);
}

const haveChanged = ({ recordedCapabilities }: LevelDecisionInput, latest: CapabilitiesByMember): boolean =>
  [...latest].some(([member, c]) => !sameCapabilities(recordedCapabilities.get(member), c));

function decideWhileLowering(input: LevelDecisionInput, latest: CapabilitiesByMember): Decision {
  const { state, requested, unmigratedRecords } = input;
  const isStillRequested = requested.lower && state.level > (requested.maxLevel ?? Infinity);
  // Operators have withdrawn the request, and no member has come that the level was being lowered for.
  if (!isStillRequested && membersWithout(state.level, input, latest).length === 0)
    return { type: 'raise', to: state.level, capabilities: latest };
  if (unmigratedRecords === 0) return { type: 'lower', to: state.writeLevel };
  return {
    type: 'stay',
    why: `being lowered to ${state.writeLevel}: ${unmigratedRecords} records are still to be rewritten`,
  };
}

function decideAboveLimit(input: LevelDecisionInput, latest: CapabilitiesByMember): Decision {
  const { state, requested, blockingKeys } = input;
  if (requested.lower) {
    if (blockingKeys.length > 0) return { type: 'refuse', text: refusalText(input) };
    return { type: 'begin-lowering', to: Math.max(1, state.level - 1) };
  }
  if (haveChanged(input, latest)) return { type: 'record-capabilities', capabilities: latest };
  return { type: 'stay', why: `held at ${requested.maxLevel}, but ${state.level} is in force` };
}

function decideRise(input: LevelDecisionInput, latest: CapabilitiesByMember): Decision {
  const { state, requested, newestLevel } = input;
  const limit = requested.maxLevel ?? Infinity;
  const to = state.level + 1;
  const lacking = membersWithout(to, input, latest);
  if (to <= Math.min(newestLevel, limit) && lacking.length === 0)
    return { type: 'raise', to, capabilities: latest };
  if (haveChanged(input, latest)) return { type: 'record-capabilities', capabilities: latest };
  if (to > newestLevel) return { type: 'stay', why: '' };
  if (to > limit) return { type: 'stay', why: `held at ${limit} by operators` };
  const named = lacking.map((member) => `${member} (${latest.get(member)?.program ?? 'never seen'})`);
  return { type: 'stay', why: `waits for ${named.join(', ')}` };
}

/** How many keys a refusal names. */
const maxNamedKeys = 5;

function refusalText({ blockingKeys, state }: LevelDecisionInput): string {
  const named = blockingKeys.slice(0, maxNamedKeys).join(' ');
  return (
    `not lowered: ${blockingKeys.length} records cannot be expressed at level ${state.level - 1}: ${named}` +
    (blockingKeys.length > maxNamedKeys ? ' ...' : '') +
    '; start the newest program again on all members, or have these jobs end or drop these keys first'
  );
}
