/** Rolling upgrades simulated within one build: levels are limited and raised, in every order, under failures. */
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import { held, scenarios, type Cast } from './support/rolls.js';

/** The earlier program is simulated by limiting its level; `npm run roll` tests the real one. */
const programVersions: Cast = {
  earlier: (n) => (n.operators = held),
  fresh: (n) => (n.operators = { ...operatorDefaults }),
  level: 1,
  knowsLevels: true,
};

for (const [name, runScenario] of Object.entries(scenarios))
  test(`rolling upgrade: ${name}`, () => runScenario(programVersions));
