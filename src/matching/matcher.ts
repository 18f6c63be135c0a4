import {
  Ad,
  referencedAttributes,
  ClassAdError,
  evaluate,
  literal,
  parseExpr,
  partiallyEvaluate,
  printExpr,
  truth,
  isNonDeterministic,
  type Expr,
  type Value,
} from '../classad/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, MachineMatch, Matcher } from '../policy/matching.js';
import { splitConjuncts, type Analysis } from './analysis.js';
import { machineAd } from './machine-ad.js';

interface MachineEntry {
  ad: Ad;
  version: number;
}

/** Machines that are alike in the attributes that a set of expressions names. */
interface AttributeProjection {
  names: readonly string[];
  signatures: Map<string, { version: number; signature: string }>;
}

interface MatchVerdict {
  matches: boolean;
  rank: number;
}

/** Jobs with the same expressions: they are evaluated once for each kind of machine. */
interface Autocluster {
  my: Ad;
  requirements: Expr;
  rank: Expr | null;
  projection: AttributeProjection;
  verdicts: Map<string, MatchVerdict>;
}

/** Beyond so many, what is remembered begins anew: only time is lost by it. */
const maxAutoclusters = 20_000;
/** More than a fleet has machines: where each is of a kind of its own, a smaller one is emptied within every look. */
const maxVerdicts = 16_384;

const rankValue = (v: Value): number =>
  typeof v === 'bigint' ? Number(v) : typeof v === 'number' && Number.isFinite(v) ? v : v === true ? 1 : 0;

/** What is wrong with a job's expressions; null: nothing. Names the field. */
export function matchSpecError(spec: MatchSpec): string | null {
  const fields: [string, string][] = Object.entries(spec.attributes).map(([n, text]) => [
    `attributes.${n}`,
    text,
  ]);
  if (spec.requirements !== null) fields.push(['requirements', spec.requirements]);
  if (spec.rank !== null) fields.push(['rank', spec.rank]);
  for (const [field, text] of fields)
    try {
      // Guards against a verdict that was right only for a moment: it is remembered.
      if (isNonDeterministic(parseExpr(text))) return `${field}: must not depend on time or chance`;
    } catch (e) {
      if (e instanceof ClassAdError) return `${field}: ${e.message}`;
      throw e;
    }
  return null;
}

export class ClassAdMatcher implements Matcher {
  private readonly machines = new Map<string, MachineEntry>();
  private readonly projections = new Map<string, AttributeProjection>();
  private autoclusters = new Map<string, Autocluster>();
  private lastVersion = 0;
  /** Evaluations so far: what matching costs. */
  evaluations = 0;

  setAttributes(host: string, attributes: MachineAttributes | null): void {
    if (attributes === null) {
      this.machines.delete(host);
      for (const v of this.projections.values()) v.signatures.delete(host);
      return;
    }
    this.machines.set(host, { ad: machineAd(attributes), version: ++this.lastVersion });
  }

  matchFor(spec: JobSpec): MachineMatch | null {
    if (!spec.match) return null;
    const cluster = this.autocluster(spec.match);
    return {
      hasRank: cluster.rank !== null,
      allows: (host) => this.verdict(cluster, host)?.matches ?? false,
      rank: (host) => this.verdict(cluster, host)?.rank ?? 0,
    };
  }

  /** Which machines a job's requirements leave, and which part of them excludes how many. */
  analyze(spec: MatchSpec): Analysis {
    const autocluster = this.autocluster(spec);
    const conjuncts = splitConjuncts(
      spec.requirements === null ? literal(true) : parseExpr(spec.requirements),
    ).map((e) => ({
      e,
      text: printExpr(e),
      excludes: 0,
      unknown: 0,
    }));
    const presentAttributes = new Set<string>();
    let matching = 0;
    for (const [host, machine] of this.machines) {
      for (const a of machine.ad) presentAttributes.add(a.name.toLowerCase());
      if (this.evaluateMachine(autocluster, machine, host).matches) matching++;
      for (const p of conjuncts) {
        const v = evaluate(p.e, autocluster.my, machine.ad);
        if (truth(v) === true) continue;
        p.excludes++;
        if (v === undefined) p.unknown++;
      }
    }
    const nowhere = autocluster.projection.names
      .filter((n) => n !== '*' && !presentAttributes.has(n))
      .map((n) => this.originalSpelling(spec, n));
    return {
      machines: this.machines.size,
      matching,
      clauses: conjuncts.map(({ text, excludes, unknown }) => ({ text, excludes, unknown })),
      nowhere,
    };
  }

  /** A name as its user wrote it. */
  private originalSpelling(spec: MatchSpec, name: string): string {
    const texts = [spec.requirements, spec.rank, ...Object.values(spec.attributes)].filter((t) => t !== null);
    for (const t of texts) {
      const found = new RegExp(`\\b${name.replace(/[^\w]/g, '\\$&')}\\b`, 'i').exec(t);
      if (found) return found[0];
    }
    return name;
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
    const my = new Ad(
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
    // A rank that is the same everywhere is none.
    const ranks = rank !== null && rank.k !== 'lit' ? rank : null;
    return { my, requirements, rank: ranks, projection: this.projection(names), verdicts: new Map() };
  }

  private projection(names: string[]): AttributeProjection {
    const sorted = [...new Set(names)].sort();
    const key = sorted.join(' ');
    let found = this.projections.get(key);
    if (!found) this.projections.set(key, (found = { names: sorted, signatures: new Map() }));
    return found;
  }

  /** null: nothing is known of such a machine. */
  private verdict(autocluster: Autocluster, host: string): MatchVerdict | null {
    const machine = this.machines.get(host);
    return machine ? this.evaluateMachine(autocluster, machine, host) : null;
  }

  private evaluateMachine(autocluster: Autocluster, machine: MachineEntry, host: string): MatchVerdict {
    const signature = this.signatureOf(autocluster.projection, machine, host);
    let verdict = autocluster.verdicts.get(signature);
    if (!verdict) {
      if (autocluster.verdicts.size >= maxVerdicts) autocluster.verdicts.clear();
      this.evaluations++;
      verdict = {
        matches: truth(evaluate(autocluster.requirements, autocluster.my, machine.ad)) === true,
        // One that has no value, or is an error, likes all alike.
        rank: autocluster.rank ? rankValue(evaluate(autocluster.rank, autocluster.my, machine.ad)) : 0,
      };
      autocluster.verdicts.set(signature, verdict);
    }
    return verdict;
  }

  /** Its values of the attributes that matter; only when one of them changes is anything evaluated again. */
  private signatureOf(projection: AttributeProjection, machine: MachineEntry, host: string): string {
    const known = projection.signatures.get(host);
    if (known?.version === machine.version) return known.signature;
    const kind = projection.names.includes('*')
      ? `#${machine.version}`
      : projection.names
          .map((n) => {
            const e = machine.ad.get(n);
            return e ? printExpr(e) : '';
          })
          .join('\n');
    projection.signatures.set(host, { version: machine.version, signature: kind });
    return kind;
  }
}

/** What was accepted was checked; a record of another version that cannot be read matches nothing. */
function parseOrDefault(text: string, fallback: Expr): Expr {
  try {
    return parseExpr(text);
  } catch {
    return fallback;
  }
}
