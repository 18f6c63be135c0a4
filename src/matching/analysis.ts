import type { Expr } from '../classad/index.js';

/** The parts of a condition that must all hold. */
export function splitConjuncts(condition: Expr): Expr[] {
  return condition.k === 'bin' && condition.op === '&&'
    ? [...splitConjuncts(condition.a), ...splitConjuncts(condition.b)]
    : [condition];
}

export interface ClauseAnalysis {
  text: string;
  /** Machines on which it does not hold, and of these: on how many it has no value (an attribute is not there). */
  excludes: number;
  unknown: number;
}

export interface Analysis {
  machines: number;
  matching: number;
  clauses: ClauseAnalysis[];
  /** Attributes that it asks for and no machine has. */
  nowhere: string[];
}

/** For people: why a job has the machines that it has. */
export function describeAnalysis(analysis: Analysis): string[] {
  const machineCount = `${analysis.machines} machine${analysis.machines === 1 ? '' : 's'}`;
  const lines = [`${analysis.matching} of ${machineCount} match`];
  for (const name of analysis.nowhere)
    lines.push(`no machine has an attribute ${name}: what needs it holds nowhere`);
  for (const clause of analysis.clauses)
    lines.push(
      clause.excludes === 0
        ? `  excludes none: ${clause.text}`
        : `  excludes ${clause.excludes}: ${clause.text}${clause.unknown > 0 ? ` (on ${clause.unknown} it has no value)` : ''}`,
    );
  return lines;
}
