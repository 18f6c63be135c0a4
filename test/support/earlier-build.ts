/**
 * Adapts controllers of earlier builds to the current simulated cluster. Builds from before revision 66ba6a5 use other names for
 * commands, effects and members of the controller; `git show 15399ad:src/core/effects.ts` shows those of revision 15399ad.
 * Commands are translated for the earlier controller, and its effects are translated back. An earlier build ignores what it does
 * not know, and fields that it does not set stay undefined.
 */
import type { MemberDemand, Rejection } from '../../src/admission/index.js';
import type { Controller, ControllerOptions } from '../../src/core/controller.js';
import type { Clock, Command, CommitOutcome, Effect, PeerStatus } from '../../src/core/effects.js';
import type { RecoveryRecords } from '../../src/core/recovery-records.js';
import type { FreshnessQuery } from '../../src/freshness/index.js';
import type { DirectOrder, Heartbeat, TaskStatus } from '../../src/model/heartbeat.js';
import type { MachineType } from '../../src/model/machine.js';
import type { RentalOutcome, RentRequest } from '../../src/wire/cloud.js';
import type { Change, Condition, Write } from '../../src/wire/store.js';

/** A task in a heartbeat of an earlier build. */
type EarlierTaskReport = Omit<TaskStatus, 'exitReason'> & { why: TaskStatus['exitReason'] };

/** A heartbeat of an earlier build. */
interface EarlierReport extends Omit<Heartbeat, 'agentEpoch' | 'sequence' | 'fencingToken' | 'tasks'> {
  session: number;
  seq: number;
  token: number;
  tasks: EarlierTaskReport[];
}

/** A controller's demand for writes, as an earlier build reports it to its peers. */
interface EarlierDemand {
  tasks: number;
  users: number;
  behindS: number;
  kinds: { team: string; class: string; weight: number; want: number }[];
  follows: number;
}

/** A peer status of an earlier build. */
interface EarlierPulse {
  epoch: number;
  run: string;
  busy: number;
  front: boolean;
  wants: EarlierDemand | null;
  inc: number;
  jobs: number;
}

/** A freshness query of an earlier build. */
interface EarlierQuestion {
  run: string;
  nonce: number;
  epoch: number;
  inc: number;
}

/** The recovery records of an earlier build. */
interface EarlierLegacy {
  n: number;
  epoch: number;
  records: RecoveryRecords['records'];
  why: string;
}

/** A command of an earlier build; `c` is its type. */
interface EarlierCommand {
  c: string;
  [field: string]: unknown;
}

/** An effect of an earlier build; `e` is its type. */
type EarlierEffect =
  | { e: 'answer'; rid: number; status: number; body: object | string; retryAfterS?: number }
  | { e: 'commit'; txn: { when: Condition[]; apply: Write[] } }
  | { e: 'epoch' }
  | { e: 'catch-up'; epoch: number }
  | { e: 'relay'; to: string; rid: number; report: EarlierReport }
  | { e: 'pulse'; pulse: EarlierPulse }
  | { e: 'turned'; list: Rejection[] }
  | { e: 'ask'; question: EarlierQuestion }
  | { e: 'vouch'; to: string; question: EarlierQuestion; known: Change[] }
  | { e: 'audit'; from: string; keys: number }
  | { e: 'reborn'; legacy: EarlierLegacy }
  | { e: 'lease'; ttlMs: number }
  | { e: 'renew'; hold: number }
  | { e: 'unlease'; hold: number }
  | { e: 'types' }
  | { e: 'rent'; request: RentRequest }
  | { e: 'delete'; hosts: string[] }
  | { e: 'list' }
  | { e: 'order'; host: string; endpoint: string; token: number; session: number; orders: DirectOrder[] };

/** The members of an earlier build's controller that the simulated cluster and the rolling-upgrade scenarios read. */
interface EarlierController {
  readonly healthy: boolean;
  readonly sureOfAbsence: boolean;
  readonly replica: {
    readonly types: readonly MachineType[];
    readonly shards: ReadonlyMap<number, unknown>;
    readonly machines: ReadonlyMap<string, unknown>;
    readonly levels: { readonly state: { readonly level: number } };
  };
  readonly membership: { readonly leading: boolean };
  readonly dispatcher: {
    readonly owned: ReadonlySet<number>;
    readonly machines: ReadonlyMap<string, unknown>;
  };
  step(commands: EarlierCommand[], clock: Clock): EarlierEffect[];
}

/**
 * The controller class of an earlier build. Its constructor takes the current options as positional arguments, and recovery
 * records under their earlier names.
 */
export type EarlierControllerClass = new (...args: unknown[]) => EarlierController;

function toEarlierReport({ agentEpoch, sequence, fencingToken, tasks, ...rest }: Heartbeat): EarlierReport {
  return {
    ...rest,
    session: agentEpoch,
    seq: sequence,
    token: fencingToken,
    tasks: tasks.map(({ exitReason, ...task }) => ({ ...task, why: exitReason })),
  };
}

function fromEarlierReport({ session, seq, token, tasks, ...rest }: EarlierReport): Heartbeat {
  return {
    ...rest,
    agentEpoch: session,
    sequence: seq,
    fencingToken: token,
    tasks: tasks.map(({ why, ...task }) => ({ ...task, exitReason: why })),
  };
}

const toEarlierDemand = (demand: MemberDemand): EarlierDemand => ({
  tasks: demand.acceptedWork,
  users: demand.newJobs,
  behindS: demand.backlogS,
  kinds: demand.workloads.map(({ jobsPerS, ...workload }) => ({ ...workload, want: jobsPerS })),
  follows: demand.allocationVersion,
});

const fromEarlierDemand = (demand: EarlierDemand): MemberDemand => ({
  acceptedWork: demand.tasks,
  newJobs: demand.users,
  backlogS: demand.behindS,
  workloads: demand.kinds.map(({ want, ...workload }) => ({ ...workload, jobsPerS: want })),
  allocationVersion: demand.follows,
});

const toEarlierPulse = (status: PeerStatus): EarlierPulse => ({
  epoch: status.revision,
  run: status.instanceId,
  busy: status.utilizationPermille,
  front: status.wantsForwarding,
  wants: status.demand && toEarlierDemand(status.demand),
  inc: status.incarnation,
  jobs: status.jobCount,
});

const fromEarlierPulse = (pulse: EarlierPulse): PeerStatus => ({
  revision: pulse.epoch,
  instanceId: pulse.run,
  utilizationPermille: pulse.busy,
  wantsForwarding: pulse.front,
  demand: pulse.wants && fromEarlierDemand(pulse.wants),
  incarnation: pulse.inc,
  jobCount: pulse.jobs,
});

const toEarlierQuestion = ({
  instanceId,
  nonce,
  revision,
  incarnation,
}: FreshnessQuery): EarlierQuestion => ({
  run: instanceId,
  nonce,
  epoch: revision,
  inc: incarnation,
});

const fromEarlierQuestion = ({ run, nonce, epoch, inc }: EarlierQuestion): FreshnessQuery => ({
  instanceId: run,
  nonce,
  revision: epoch,
  incarnation: inc,
});

function toEarlierOutcome(outcome: CommitOutcome): object {
  switch (outcome.type) {
    case 'ok':
      return { r: 'ok', epoch: outcome.revision };
    case 'conflict':
      return { r: 'conflict', failed: outcome.failed, epoch: outcome.revision };
    case 'rejected':
      return { r: 'refused' };
    case 'rate-limited':
      return { r: 'busy' };
    case 'lease-expired':
      return { r: 'unleased' };
    case 'malformed':
    case 'unknown':
      return { r: outcome.type };
  }
}

function toEarlierRentalOutcome(outcome: RentalOutcome): unknown {
  switch (outcome.type) {
    case 'rented':
      return { hosts: outcome.hosts };
    case 'no-capacity':
      return 'none';
    case 'rejected':
      return 'refused';
    case 'unknown':
      return 'unknown';
  }
}

const toEarlierLegacy = ({ incarnation, revision, records, reason }: RecoveryRecords): EarlierLegacy => ({
  n: incarnation,
  epoch: revision,
  records,
  why: reason,
});

const fromEarlierLegacy = ({ n, epoch, records, why }: EarlierLegacy): RecoveryRecords => ({
  incarnation: n,
  revision: epoch,
  records,
  reason: why,
});

/** Translates a current command into one of an earlier build. */
export function toEarlierCommand(command: Command): EarlierCommand {
  switch (command.type) {
    case 'tick':
      return { c: 'tick' };
    case 'submit':
      return { c: 'submit', rid: command.requestId, spec: command.spec };
    case 'query':
      return { c: 'query', rid: command.requestId, id: command.id };
    case 'cancel':
      return { c: 'withdraw', rid: command.requestId, id: command.id };
    case 'heartbeat':
      return {
        c: 'checkin',
        rid: command.requestId,
        report: toEarlierReport(command.report),
        ...(command.from === undefined ? {} : { from: command.from }),
      };
    case 'forwarded-response':
      return { c: 'relayed', rid: command.requestId, status: command.status, body: command.body };
    case 'peer-status':
      return { c: 'pulse', from: command.from, pulse: toEarlierPulse(command.status) };
    case 'rejected-jobs':
      return { c: 'turned', list: command.list };
    case 'freshness-query':
      return { c: 'asked', from: command.from, question: toEarlierQuestion(command.query) };
    case 'freshness-confirmed':
      return {
        c: 'vouched',
        from: command.from,
        run: command.instanceId,
        question: toEarlierQuestion(command.query),
        known: command.known,
      };
    case 'load': {
      const { type, ...load } = command;
      return { c: type, ...load };
    }
    case 'peer-lost':
      return { c: 'peer-lost', member: command.member };
    case 'snapshot-progress':
      return { c: 'reading', keys: command.keys };
    case 'snapshot-loaded':
      return { c: 'loaded', items: command.items, epoch: command.revision };
    case 'changes':
      return { c: 'changes', changes: command.changes, epoch: command.revision };
    case 'commit-result':
      return { c: 'committed', outcome: toEarlierOutcome(command.outcome) };
    case 'audit-result':
      return {
        c: 'audited',
        from: command.from,
        items: command.items,
        more: command.more,
        epoch: command.revision,
      };
    case 'revision-read':
      return { c: 'epoch', sentAt: command.sentAt, epoch: command.revision };
    case 'lease-granted':
      return { c: 'leased', hold: command.leaseId };
    case 'lease-renewal-result':
      return { c: 'renewed', hold: command.leaseId, outcome: command.outcome };
    case 'forget-machine':
      return { c: 'forget', host: command.host };
    case 'shut-down':
      return { c: 'leave' };
    case 'machine-attributes':
      return { c: 'attributes', host: command.host, attributes: command.attributes };
    case 'stop-gang':
      return { c: 'stop-gang', id: command.id };
    case 'machine-types':
      return { c: 'types', types: command.types };
    case 'rental-result':
      return { c: 'rented', request: command.request, outcome: toEarlierRentalOutcome(command.outcome) };
    case 'deletion-result':
      return { c: 'deleted', hosts: command.hosts, ok: command.ok };
    case 'machine-list':
      return { c: 'listed', machines: command.machines, askedAt: command.askedAt };
  }
}

/** Translates an effect of an earlier build into a current one. */
export function fromEarlierEffect(effect: EarlierEffect): Effect {
  switch (effect.e) {
    case 'answer': {
      const { rid: requestId, status, body, retryAfterS } = effect;
      return { type: 'respond', requestId, status, body, retryAfterS };
    }
    case 'commit':
      return { type: 'commit', txn: { conditions: effect.txn.when, writes: effect.txn.apply } };
    case 'epoch':
      return { type: 'read-revision' };
    case 'catch-up':
      return { type: 'catch-up', revision: effect.epoch };
    case 'relay':
      return {
        type: 'forward-heartbeat',
        to: effect.to,
        requestId: effect.rid,
        report: fromEarlierReport(effect.report),
      };
    case 'pulse':
      return { type: 'peer-status', status: fromEarlierPulse(effect.pulse) };
    case 'turned':
      return { type: 'rejected-jobs', list: effect.list };
    case 'ask':
      return { type: 'query-freshness', query: fromEarlierQuestion(effect.question) };
    case 'vouch':
      return {
        type: 'confirm-freshness',
        to: effect.to,
        query: fromEarlierQuestion(effect.question),
        known: effect.known,
      };
    case 'audit':
      return { type: 'audit', from: effect.from, keys: effect.keys };
    case 'reborn':
      return { type: 'restart', recoveryRecords: fromEarlierLegacy(effect.legacy) };
    case 'lease':
      return { type: 'grant-lease', ttlMs: effect.ttlMs };
    case 'renew':
      return { type: 'renew-lease', leaseId: effect.hold };
    case 'unlease':
      return { type: 'revoke-lease', leaseId: effect.hold };
    case 'types':
      return { type: 'list-machine-types' };
    case 'rent':
      return { type: 'rent-machines', request: effect.request };
    case 'delete':
      return { type: 'delete-machines', hosts: effect.hosts };
    case 'list':
      return { type: 'list-machines' };
    case 'order': {
      const { host, endpoint, token, session, orders } = effect;
      return { type: 'send-task-commands', host, endpoint, token, session, orders };
    }
  }
}

/** Gives an earlier controller those members of the current one that the simulated cluster and the scenarios use. */
class EarlierControllerAdapter {
  private readonly controller: EarlierController;

  constructor(EarlierBuild: EarlierControllerClass, options: ControllerOptions) {
    const { settings, operators, instanceId, random, log, matcher, program, recoveryRecords } = options;
    const legacy = recoveryRecords ? toEarlierLegacy(recoveryRecords) : null;
    this.controller = new EarlierBuild(
      settings,
      operators,
      instanceId,
      random,
      log,
      matcher ?? null,
      program,
      legacy,
    );
  }

  step(commands: readonly Command[], clock: Clock): Effect[] {
    return this.controller.step(commands.map(toEarlierCommand), clock).map(fromEarlierEffect);
  }

  get healthy(): boolean {
    return this.controller.healthy;
  }

  get sureOfAbsence(): boolean {
    return this.controller.sureOfAbsence;
  }

  get replica(): object {
    const { types, shards, machines, levels } = this.controller.replica;
    return { machineTypes: types, shards, machines, levels };
  }

  get membership(): object {
    return { isLeader: this.controller.membership.leading };
  }

  get shardManager(): object {
    const { owned, machines } = this.controller.dispatcher;
    return { ownedShards: owned, machines };
  }
}

/** Wraps the controller class of an earlier build in one that the simulated cluster can use. */
export function adaptEarlierController(EarlierBuild: EarlierControllerClass): typeof Controller {
  class AdaptedController extends EarlierControllerAdapter {
    constructor(options: ControllerOptions) {
      super(EarlierBuild, options);
    }
  }
  return AdaptedController as unknown as typeof Controller;
}
