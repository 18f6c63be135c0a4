/** Analyses which machines match a job's requirements, for users who wonder where their job is. */
import type { Expr } from '../classad/index.js';

/** The operands of a condition's `&&` operators, all of which must hold. */
export function splitConjuncts(condition: Expr): Expr[] {
  return condition.kind === 'binary' && condition.op === '&&'
    ? [...splitConjuncts(condition.left), ...splitConjuncts(condition.right)]
    : [condition];
}

/** How one operand of a condition restricts the machines. Field names are part of the API. */
export interface ClauseAnalysis {
  text: string;
  /** On how many machines it does not hold. */
  excludes: number;
  /** On how many of these it has no value, because an attribute is missing. */
  unknown: number;
}

/** Which machines match a job's requirements. Field names are part of the API. */
export interface Analysis {
  /** All machines. */
  machines: number;
  /** Those that match. */
  matching: number;
  clauses: ClauseAnalysis[];
  /** Attributes that the requirements name and no machine has. */
  nowhere: string[];
}

/** The analysis in words, one line for each fact. */
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
