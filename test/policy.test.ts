/** The placement policy (order, prices, hazard, guardrails, guarantees), and parsing of settings and submissions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { mayShareGpuMachine } from '../src/policy/gpu-sharing.js';
import { parseOperatorSettings } from '../src/config/operators.js';
import { parseSettings } from '../src/config/settings.js';
import { jobsWithinGuarantee } from '../src/policy/admission.js';
import { residentLongEnough, migrationBudget, spotAllowed } from '../src/policy/guardrails.js';
import { SpotHazardEstimate } from '../src/policy/hazard.js';
import {
  migrationUrgency,
  placementPriority,
  placementScore,
  type MachineCandidate,
} from '../src/policy/helios.js';
import { inPlacementOrder } from '../src/policy/order.js';
import { parseSubmission } from '../src/wire/user.js';
import { box, settingsText, spec } from './support/fixtures.js';

const weights = { hazard: 10, anchor: 0.5 };
const candidate = (over: Partial<MachineCandidate>): MachineCandidate => ({
  price: 0.1,
  spot: false,
  hazard: 0,
  needsRental: false,
  freeCpus: 4,
  delayMin: 0,
  ...over,
});

test('premium tasks have the highest placement priority, then larger tasks', () => {
  assert.ok(placementPriority({ premium: true, cpus: 1 }) > placementPriority({ premium: false, cpus: 8 }));
  assert.ok(placementPriority({ premium: false, cpus: 8 }) > placementPriority({ premium: false, cpus: 2 }));
});

test('the score includes the hazard: a cheaper spot machine is preferred unless it is interrupted too often', () => {
  const work = { premium: false, cpus: 1 };
  const ondemand = candidate({});
  assert.ok(
    placementScore(work, candidate({ price: 0.03, spot: true, hazard: 0.001 }), 0.1, weights) >
      placementScore(work, ondemand, 0.1, weights),
  );
  assert.ok(
    placementScore(work, candidate({ price: 0.03, spot: true, hazard: 0.02 }), 0.1, weights) <
      placementScore(work, ondemand, 0.1, weights),
  );
  assert.equal(migrationUrgency({ price: 0.03, spot: true, hazard: 0.001 }, 0.1, weights), 0);
  assert.ok(migrationUrgency({ price: 0.03, spot: true, hazard: 0.02 }, 0.1, weights) > 0);
});

test('premium tasks prefer machines close to the cheapest on-demand price', () => {
  const work = { premium: true, cpus: 1 };
  assert.ok(
    placementScore(work, candidate({ price: 0.1 }), 0.1, weights) >
      placementScore(work, candidate({ price: 0.2 }), 0.1, weights),
  );
  assert.ok(
    placementScore(work, candidate({ price: 0.1 }), 0.1, weights) >
      placementScore(work, candidate({ price: 0.1 }), 0.2, weights),
  );
});

test('guardrails: no spot machines for services and gangs; a budget and a minimum residency for migrations', () => {
  assert.equal(spotAllowed(spec('req-1', { spot: true })), true);
  assert.equal(spotAllowed(spec('req-1', { spot: true, shape: 'gang' })), false);
  assert.equal(spotAllowed(spec('req-1', { spot: true, shape: 'service' })), false);
  assert.equal(migrationBudget(0.05, 41), 3);
  assert.equal(residentLongEnough(59, 60), false);
});

test('the hazard estimate follows the observations and falls back to its prior', () => {
  const estimate = new SpotHazardEstimate(0.5);
  assert.equal(estimate.perHour(), 0.5);
  for (let i = 0; i < 5; i++) estimate.recordInterruption();
  assert.ok(estimate.perHour() > 5);
  estimate.observe(10, 3600);
  assert.ok(estimate.perHour() < 1);
});

test('settings: the error for an invalid field names the field in one line', () => {
  assert.throws(
    () => parseSettings(settingsText('n0', 1).replace('lease_s = 16.0', 'lease_s = "x"')),
    /deployment\.workers\.lease_s: [^\n]+$/,
  );
  assert.throws(() => parseSettings('member = '), /not valid TOML/);
  assert.throws(() => parseOperatorSettings('(dapplepick (nonsense 3))'), /nonsense: unknown setting/);
  assert.throws(() => parseOperatorSettings('(dapplepick (round-s zero))'), /round-s: must be a number/);
  assert.equal(parseOperatorSettings('; comment\n(dapplepick (round-s 5))')['round-s'], 5);
});

test('submissions: unknown and optional fields are accepted, missing and invalid ones are rejected', () => {
  const good = {
    nameId: 'req-000412',
    jobclass: 'train',
    owner: 'vision',
    shape: 'ensemble',
    urgency: 'urgent',
    pieces: 16,
    cpus: 8,
    cards: 1,
    memGb: 64,
    bundle: 'img-07',
    pullGb: 6.2,
    flavours: ['g8'],
    yard: null,
    oneZone: true,
    apart: false,
    loaners: true,
    expectS: 240,
    snapshotS: 30,
    flushS: 4,
    dueS: 900,
    surplus: 1,
  };
  const job = parseSubmission(good);
  assert.ok(
    typeof job === 'object' && job.shape === 'gang' && job.urgency === 'high' && job.deadlineS === 900,
  );
  assert.ok(typeof parseSubmission({ ...good, flavours: undefined, dueS: undefined }) === 'object');
  for (const bad of [
    null,
    [],
    'x',
    { ...good, pieces: 0 },
    { ...good, pieces: 100_001 },
    { ...good, nameId: 'job' },
    { ...good, cpus: -1 },
    { ...good, shape: 'x' },
    { ...good, owner: undefined },
  ])
    assert.equal(typeof parseSubmission(bad), 'string');
});

test("a job is within its team's guarantee only if it fits together with all earlier unfinished jobs of the team", () => {
  const settings = parseSettings(settingsText('n0', 1));
  const job = (id: string, at: number, over = {}) => ({
    spec: spec(id, { cpus: 4, ...over }),
    acceptedAt: at,
    completedCount: 0,
  });
  const first = job('req-1', 1, { tasks: 1 });
  const large = job('req-2', 2, { tasks: 2 });
  const later = job('req-3', 3, { tasks: 1 });
  const otherTeamsJob = job('req-4', 0, { tasks: 1, team: 'blue' });
  assert.deepEqual([...jobsWithinGuarantee([later, large, first, otherTeamsJob], settings)], [first]);
  assert.deepEqual(
    [...jobsWithinGuarantee([later, { ...large, completedCount: 1 }, first, otherTeamsJob], settings)].length,
    2,
  );
});

// Long tasks would keep the machine rented after its GPU tasks have ended.
test('a GPU machine with GPU tasks also accepts short array tasks without GPUs, but not long ones', () => {
  const gpuBox = { ...box, gpus: 4, bootS: 40 };
  const types = [box, gpuBox];
  const short = spec('req-1', { estimateS: 40 });
  const long = spec('req-2', { estimateS: 300 });
  assert.equal(mayShareGpuMachine(short, gpuBox, 1, types), true);
  assert.equal(mayShareGpuMachine(short, gpuBox, 0, types), false);
  assert.equal(mayShareGpuMachine(long, gpuBox, 1, types), false);
  assert.equal(mayShareGpuMachine(spec('req-3', { estimateS: 300, gpus: 1 }), gpuBox, 0, types), true);
  assert.equal(mayShareGpuMachine(long, box, 0, types), true);
});

// Guards against a few large gangs that are late already blocking all others while many urgent gangs wait.
test('order: jobs that have missed all limits are sorted by waiting time relative to the CPU time needed', () => {
  const objectives = [{ kind: 'wait', class: 'c', within_s: 10, times: 1 }];
  const gang = (id: string, tasks: number, ageS: number) => ({
    spec: spec(id, { shape: 'gang', tasks, cpus: 4 }),
    acceptedAt: 1e6 - ageS * 1000,
  });
  const jobs = [gang('large', 8, 100), gang('small', 1, 40), gang('older', 8, 400), gang('fresh', 8, 5)];
  const ordered = inPlacementOrder(jobs, objectives, 1e6, 1).map((j) => j.spec.id);
  assert.deepEqual(ordered, ['fresh', 'older', 'small', 'large']);
});
