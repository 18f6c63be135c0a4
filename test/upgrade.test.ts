/** Rolling upgrades within one build: levels held and raised, in every order, under failures. */
import { test } from 'node:test';
import { operatorDefaults } from '../src/config/operators.js';
import { held, scenarios, type Cast } from './support/rolls.js';

/** The earlier program itself: `npm run roll`. */
const cast: Cast = {
  earlier: (n) => (n.operators = held),
  fresh: (n) => (n.operators = { ...operatorDefaults }),
  level: 1,
  knowsLevels: true,
};

for (const [name, play] of Object.entries(scenarios)) test(`roll: ${name}`, () => play(cast));
