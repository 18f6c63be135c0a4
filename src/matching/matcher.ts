/**
 * Evaluates jobs' requirements and ranks on machines. Results are cached by autocluster (jobs with the same expressions) and
 * machine signature (machines with the same values of the relevant attributes).
 */
import {
  ClassAd,
  referencedAttributes,
  ClassAdError,
  evaluate,
  literal,
  parseExpr,
  partiallyEvaluate,
  printExpr,
  toTruth,
  isNonDeterministic,
  type Expr,
  type Value,
} from '../classad/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, MachineMatch, Matcher } from '../policy/matching.js';
import { splitConjuncts, type MatchAnalysis } from './analysis.js';
import { machineAd } from './machine-ad.js';

/** A machine that can be matched. */
interface MachineEntry {
  readonly ad: ClassAd;
  /** Increases whenever the attributes change. */
  readonly version: number;
}

/** The attribute names that a set of expressions refers to (`*`: all), and the machines' signatures of these attributes, by host. */
interface AttributeProjection {
  readonly names: readonly string[];
  readonly signatures: Map<string, { version: number; signature: string }>;
}

/** The cached result of evaluating the expressions of an autocluster on a machine. */
interface MatchResult {
  readonly matches: boolean;
  readonly rank: number;
}

/** The expressions that a set of jobs has in common. They are evaluated once for all machines with the same signature. */
interface Autocluster {
  readonly my: ClassAd;
  readonly requirements: Expr;
  readonly rank: Expr | null;
  readonly projection: AttributeProjection;
  /** The cached results, by machine signature. */
  readonly results: Map<string, MatchResult>;
}

/** With more autoclusters the caches are cleared, which only costs repeated evaluations. */
const maxAutoclusters = 20_000;
/**
 * Maximum number of cached results per autocluster. It must exceed the number of machines: if every machine has a signature of
 * its own, a smaller cache would be cleared in every scheduling cycle.
 */
const maxCachedResults = 16_384;

/** Converts the value of a rank to a number. True counts as 1, and any other value that is not a finite number as 0. */
function rankValue(value: Value): number {
  if (typeof value === 'bigint') return Number(value);
  if (typeof value === 'number' && Number.isFinite(value)) return value;
  return value === true ? 1 : 0;
}

/** Validates a job's expressions. Returns the first error, prefixed with its field; null if there is none. */
export function matchSpecError(spec: MatchSpec): string | null {
  const fields: [string, string][] = Object.entries(spec.attributes).map(([name, text]) => [
    `attributes.${name}`,
    text,
  ]);
  if (spec.requirements !== null) fields.push(['requirements', spec.requirements]);
  if (spec.rank !== null) fields.push(['rank', spec.rank]);
  for (const [field, text] of fields)
    try {
      // Match results are cached, so they must not change over time.
      if (isNonDeterministic(parseExpr(text))) return `${field}: must not depend on time or chance`;
    } catch (error) {
      if (error instanceof ClassAdError) return `${field}: ${error.message}`;
      throw error;
    }
  return null;
}

/** Matches jobs with machines by the jobs' ClassAd expressions. */
export class ClassAdMatcher implements Matcher {
  private readonly machines = new Map<string, MachineEntry>();
  private readonly projections = new Map<string, AttributeProjection>();
  private autoclusters = new Map<string, Autocluster>();
  private lastVersion = 0;
  /** The number of evaluations so far, a measure of the cost of matching. */
  evaluations = 0;

  /** Replaces the attributes of a machine; null removes the machine. */
  setAttributes(host: string, attributes: MachineAttributes | null): void {
    if (attributes === null) {
      this.machines.delete(host);
      for (const projection of this.projections.values()) projection.signatures.delete(host);
      return;
    }
    this.machines.set(host, { ad: machineAd(attributes), version: ++this.lastVersion });
  }

  /** Returns the match of a job; null if the job has no expressions. */
  matchFor(spec: JobSpec): MachineMatch | null {
    if (!spec.match) return null;
    const autocluster = this.autocluster(spec.match);
    return {
      hasRank: autocluster.rank !== null,
      allows: (host) => this.resultFor(autocluster, host)?.matches ?? false,
      rank: (host) => this.resultFor(autocluster, host)?.rank ?? 0,
    };
  }

  /** Counts the machines that match a job's requirements, and the machines that each operand of the requirements excludes. */
  analyze(spec: MatchSpec): MatchAnalysis {
    const autocluster = this.autocluster(spec);
    const conjuncts = splitConjuncts(
      spec.requirements === null ? literal(true) : parseExpr(spec.requirements),
    ).map((expr) => ({
      expr,
      text: printExpr(expr),
      excludes: 0,
      unknown: 0,
    }));
    const presentAttributes = new Set<string>();
    let matching = 0;
    for (const [host, machine] of this.machines) {
      for (const { name } of machine.ad) presentAttributes.add(name.toLowerCase());
      if (this.evaluateMachine(autocluster, machine, host).matches) matching++;
      for (const conjunct of conjuncts) {
        const value = evaluate(conjunct.expr, autocluster.my, machine.ad);
        if (toTruth(value) === true) continue;
        conjunct.excludes++;
        if (value === undefined) conjunct.unknown++;
      }
    }
    const nowhere = autocluster.projection.names
      .filter((name) => name !== '*' && !presentAttributes.has(name))
      .map((name) => originalSpelling(spec, name));
    return {
      machines: this.machines.size,
      matching,
      clauses: conjuncts.map(({ text, excludes, unknown }) => ({ text, excludes, unknown })),
      nowhere,
    };
  }

  private autocluster(spec: MatchSpec): Autocluster {
    const key = JSON.stringify([spec.requirements, spec.rank, Object.entries(spec.attributes).sort()]);
    let found = this.autoclusters.get(key);
    if (!found) {
      if (this.autoclusters.size >= maxAutoclusters) {
        this.autoclusters = new Map();
        this.projections.clear();
      }
      this.autoclusters.set(key, (found = this.parseSpec(spec)));
    }
    return found;
  }

  private parseSpec(spec: MatchSpec): Autocluster {
    const my = new ClassAd(
      Object.entries(spec.attributes).map(([name, text]) => ({
        name,
        expr: parseOrDefault(text, literal(undefined)),
      })),
    );
    const requirements =
      spec.requirements === null
        ? literal(true)
        : partiallyEvaluate(parseOrDefault(spec.requirements, literal(false)), my);
    const rank = spec.rank === null ? null : partiallyEvaluate(parseOrDefault(spec.rank, literal(0n)), my);
    const names = [
      ...referencedAttributes(requirements, my),
      ...(rank ? referencedAttributes(rank, my) : []),
    ];
    // A constant rank does not prefer any machine.
    const variableRank = rank !== null && rank.kind !== 'literal' ? rank : null;
    return { my, requirements, rank: variableRank, projection: this.projection(names), results: new Map() };
  }

  private projection(names: string[]): AttributeProjection {
    const sorted = [...new Set(names)].sort();
    const key = sorted.join(' ');
    let found = this.projections.get(key);
    if (!found) this.projections.set(key, (found = { names: sorted, signatures: new Map() }));
    return found;
  }

  /** Returns the result for a machine; null if the machine is not known. */
  private resultFor(autocluster: Autocluster, host: string): MatchResult | null {
    const machine = this.machines.get(host);
    return machine ? this.evaluateMachine(autocluster, machine, host) : null;
  }

  private evaluateMachine(autocluster: Autocluster, machine: MachineEntry, host: string): MatchResult {
    const signature = this.signatureOf(autocluster.projection, machine, host);
    let result = autocluster.results.get(signature);
    if (!result) {
      if (autocluster.results.size >= maxCachedResults) autocluster.results.clear();
      this.evaluations++;
      result = {
        matches: toTruth(evaluate(autocluster.requirements, autocluster.my, machine.ad)) === true,
        rank: autocluster.rank ? rankValue(evaluate(autocluster.rank, autocluster.my, machine.ad)) : 0,
      };
      autocluster.results.set(signature, result);
    }
    return result;
  }

  /** Returns the machine's signature: its values of the projection's attributes. Expressions are evaluated again only if it changes. */
  private signatureOf(projection: AttributeProjection, machine: MachineEntry, host: string): string {
    const known = projection.signatures.get(host);
    if (known?.version === machine.version) return known.signature;
    const signature = projection.names.includes('*')
      ? `#${machine.version}`
      : projection.names
          .map((name) => {
            const expr = machine.ad.get(name);
            return expr ? printExpr(expr) : '';
          })
          .join('\n');
    projection.signatures.set(host, { version: machine.version, signature });
    return signature;
  }
}

/** Returns an attribute name, given in lower case, as it is spelled in the job's expressions. */
function originalSpelling(spec: MatchSpec, name: string): string {
  const texts = [spec.requirements, spec.rank, ...Object.values(spec.attributes)].filter(
    (text) => text !== null,
  );
  for (const text of texts) {
    const found = new RegExp(`\\b${name.replace(/[^\w]/g, '\\$&')}\\b`, 'i').exec(text);
    if (found) return found[0];
  }
  return name;
}

/**
 * Parses an expression that was validated when the job was accepted. If it cannot be parsed, because another version of the
 * program accepted it, the fallback is used, so that the job matches no machine.
 */
function parseOrDefault(text: string, fallback: Expr): Expr {
  try {
    return parseExpr(text);
  } catch {
    return fallback;
  }
}
