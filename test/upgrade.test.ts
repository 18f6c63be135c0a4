/** Rolling upgrades simulated within one build: levels are limited and raised, in every order, under failures. */
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import { limitedToLevel1, scenarios, type ProgramVersions } from './support/rolling-upgrade.js';

/** The earlier program is simulated by limiting its level; `npm run roll` tests the real one. */
const programVersions: ProgramVersions = {
  installEarlier: (n) => (n.operators = limitedToLevel1),
  installCurrent: (n) => (n.operators = { ...operatorDefaults }),
  earlierLevel: 1,
  earlierKnowsLevels: true,
};

for (const [name, runScenario] of Object.entries(scenarios))
  test(`rolling upgrade: ${name}`, () => runScenario(programVersions));
