/** Explains which machines match a job's requirements, so that users can see why a job does not start. */
import type { Expr } from '../classad/index.js';

/** Splits a condition into the operands of its `&&` operators, all of which must hold. */
export function splitConjuncts(condition: Expr): Expr[] {
  return condition.kind === 'binary' && condition.op === '&&'
    ? [...splitConjuncts(condition.left), ...splitConjuncts(condition.right)]
    : [condition];
}

/** How one operand of the requirements restricts the machines. Field names are part of the API. */
export interface ClauseAnalysis {
  text: string;
  /** The number of machines on which the operand does not hold. */
  excludes: number;
  /** The number of these machines on which it is undefined, because an attribute is missing. */
  unknown: number;
}

/** Which machines match a job's requirements. Field names are part of the API. */
export interface MatchAnalysis {
  /** The number of all machines. */
  machines: number;
  /** The number of machines that match. */
  matching: number;
  clauses: ClauseAnalysis[];
  /** Attributes that the job's expressions refer to and no machine has. */
  nowhere: string[];
}

/** Formats an analysis for users, one line per finding. */
export function describeAnalysis(analysis: MatchAnalysis): string[] {
  const machineCount = `${analysis.machines} machine${analysis.machines === 1 ? '' : 's'}`;
  const lines = [`${analysis.matching} of ${machineCount} match`];
  for (const name of analysis.nowhere)
    lines.push(`no machine has an attribute ${name}: conditions that require it hold on no machine`);
  for (const clause of analysis.clauses)
    lines.push(
      clause.excludes === 0
        ? `  excludes none: ${clause.text}`
        : `  excludes ${clause.excludes}: ${clause.text}${clause.unknown > 0 ? ` (on ${clause.unknown} it has no value)` : ''}`,
    );
  return lines;
}
