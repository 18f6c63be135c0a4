import type { Expr } from '../classad/index.js';

/** The parts of a condition that must all hold. */
export function clauses(e: Expr): Expr[] {
  return e.k === 'bin' && e.op === '&&' ? [...clauses(e.a), ...clauses(e.b)] : [e];
}

export interface Clause {
  text: string;
  /** Machines on which it does not hold, and of these: on how many it has no value (an attribute is not there). */
  excludes: number;
  unknown: number;
}

export interface Analysis {
  machines: number;
  matching: number;
  clauses: Clause[];
  /** Attributes that it asks for and no machine has. */
  nowhere: string[];
}

/** For people: why a job has the machines that it has. */
export function inWords(a: Analysis): string[] {
  const of = `${a.machines} machine${a.machines === 1 ? '' : 's'}`;
  const lines = [`${a.matching} of ${of} match`];
  for (const name of a.nowhere)
    lines.push(`no machine has an attribute ${name}: what needs it holds nowhere`);
  for (const c of a.clauses)
    lines.push(
      c.excludes === 0
        ? `  excludes none: ${c.text}`
        : `  excludes ${c.excludes}: ${c.text}${c.unknown > 0 ? ` (on ${c.unknown} it has no value)` : ''}`,
    );
  return lines;
}
