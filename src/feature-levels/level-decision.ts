/** Decides when the feature level in force is raised or lowered. Pure functions; the leader carries out the decisions. */
import { legacyCapabilities, type Capabilities, type LevelState } from './feature-levels.js';

/** The operators' request about the feature level; every part is optional. */
export interface RequestedLevel {
  /** The highest level allowed; null: no limit. */
  readonly maxLevel: number | null;
  /** Whether to lower the level in force if it is above the limit. */
  readonly lower: boolean;
  /** Members that will not return: raising the level does not wait for them. */
  readonly departedMembers: readonly string[];
  readonly modRevision: number;
}

/** The request that applies while the operators have made none. */
export const noRequestedLevel: RequestedLevel = {
  maxLevel: null,
  lower: false,
  departedMembers: [],
  modRevision: 0,
};

/** The input of the leader's decision. */
export interface LevelDecisionInput {
  readonly state: LevelState;
  /** The newest level that this program knows. */
  readonly newestLevel: number;
  /** The members that raising the level waits for: those in the leader's settings, the leader included. */
  readonly configuredMembers: readonly string[];
  /** The capabilities that each member was last seen with, according to the stored record. */
  readonly recordedCapabilities: ReadonlyMap<string, Capabilities>;
  /** The capabilities that the leader itself has seen, which are newer than the recorded ones. */
  readonly observedCapabilities: ReadonlyMap<string, Capabilities>;
  readonly requested: RequestedLevel;
  /** Records that only the level in force can express and that are still to be rewritten. */
  readonly unmigratedRecords: number;
  /** Keys of records that no lower level can express. */
  readonly blockingKeys: readonly string[];
}

/** What the leader must do about the level. */
export type LevelDecision =
  /** Keep the level. `why` is empty if there is no newer level. */
  | { readonly type: 'stay'; readonly why: string }
  /** Record the members' capabilities, which have changed. */
  | { readonly type: 'record-capabilities'; readonly capabilities: Map<string, Capabilities> }
  | { readonly type: 'raise'; readonly to: number; readonly capabilities: Map<string, Capabilities> }
  /** Stop writing what needs the level, and rewrite the stored records that need it. */
  | { readonly type: 'begin-lowering'; readonly to: number }
  | { readonly type: 'lower'; readonly to: number }
  /** Refuse a request of operators that cannot be fulfilled. */
  | { readonly type: 'refuse'; readonly text: string };

const sameCapabilities = (a: Capabilities | undefined, b: Capabilities): boolean =>
  a !== undefined && a.program === b.program && a.minLevel === b.minLevel && a.maxLevel === b.maxLevel;

/** The capabilities that each member was last seen with. */
const latestCapabilitiesByMember = (input: LevelDecisionInput): Map<string, Capabilities> =>
  new Map([...input.recordedCapabilities, ...input.observedCapabilities]);

/** Decides the next step of the level. The step is carried out on condition that the input has not changed. */
export function decideLevelChange(input: LevelDecisionInput): LevelDecision {
  const { state, requested } = input;
  const capabilities = latestCapabilitiesByMember(input);
  if (state.writeLevel < state.level) return decideWhileLowering(input, capabilities);
  if (state.level > (requested.maxLevel ?? Infinity)) return decideAboveLimit(input, capabilities);
  return decideRaise(input, capabilities);
}

type CapabilitiesByMember = Map<string, Capabilities>;

/** The required members that do not support a level. */
function membersLackingLevel(
  level: number,
  input: LevelDecisionInput,
  latest: CapabilitiesByMember,
): string[] {
  const { configuredMembers, requested } = input;
  return configuredMembers
    .filter((member) => !requested.departedMembers.includes(member))
    .filter((member) => (latest.get(member) ?? legacyCapabilities).maxLevel < level);
}

const capabilitiesChanged = (
  { recordedCapabilities }: LevelDecisionInput,
  latest: CapabilitiesByMember,
): boolean => [...latest].some(([member, c]) => !sameCapabilities(recordedCapabilities.get(member), c));

function decideWhileLowering(input: LevelDecisionInput, latest: CapabilitiesByMember): LevelDecision {
  const { state, requested, unmigratedRecords } = input;
  const isStillRequested = requested.lower && state.level > (requested.maxLevel ?? Infinity);
  // Operators have withdrawn the request, and no member has joined that needs the lower level.
  if (!isStillRequested && membersLackingLevel(state.level, input, latest).length === 0)
    return { type: 'raise', to: state.level, capabilities: latest };
  if (unmigratedRecords === 0) return { type: 'lower', to: state.writeLevel };
  return {
    type: 'stay',
    why: `being lowered to ${state.writeLevel}: ${unmigratedRecords} records are still to be rewritten`,
  };
}

function decideAboveLimit(input: LevelDecisionInput, latest: CapabilitiesByMember): LevelDecision {
  const { state, requested, blockingKeys } = input;
  if (requested.lower) {
    if (blockingKeys.length > 0) return { type: 'refuse', text: refusalText(input) };
    return { type: 'begin-lowering', to: Math.max(1, state.level - 1) };
  }
  if (capabilitiesChanged(input, latest)) return { type: 'record-capabilities', capabilities: latest };
  return { type: 'stay', why: `held at ${requested.maxLevel}, but ${state.level} is in force` };
}

function decideRaise(input: LevelDecisionInput, latest: CapabilitiesByMember): LevelDecision {
  const { state, requested, newestLevel } = input;
  const limit = requested.maxLevel ?? Infinity;
  const to = state.level + 1;
  const lacking = membersLackingLevel(to, input, latest);
  if (to <= Math.min(newestLevel, limit) && lacking.length === 0)
    return { type: 'raise', to, capabilities: latest };
  if (capabilitiesChanged(input, latest)) return { type: 'record-capabilities', capabilities: latest };
  if (to > newestLevel) return { type: 'stay', why: '' };
  if (to > limit) return { type: 'stay', why: `held at ${limit} by operators` };
  const named = lacking.map((member) => `${member} (${latest.get(member)?.program ?? 'never seen'})`);
  return { type: 'stay', why: `waits for ${named.join(', ')}` };
}

/** The most keys that a refusal names. */
const maxNamedKeys = 5;

function refusalText({ blockingKeys, state }: LevelDecisionInput): string {
  const named = blockingKeys.slice(0, maxNamedKeys).join(' ');
  return (
    `not lowered: ${blockingKeys.length} records cannot be expressed at level ${state.level - 1}: ${named}` +
    (blockingKeys.length > maxNamedKeys ? ' ...' : '') +
    '; start the newest program again on all members, or have these jobs end or drop these keys first'
  );
}
