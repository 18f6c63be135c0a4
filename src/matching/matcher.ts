import {
  Ad,
  asked,
  ClassAdError,
  evaluate,
  literal,
  parseExpr,
  partial,
  printExpr,
  truth,
  varies,
  type Expr,
  type Value,
} from '../classad/index.js';
import type { JobSpec, MatchSpec } from '../model/job.js';
import type { MachineAttributes, MachineMatch, Matcher } from '../policy/matching.js';
import { clauses, type Analysis } from './clauses.js';
import { machineAd } from './machine-ad.js';

interface Machine {
  ad: Ad;
  version: number;
}

/** Machines that are alike in the attributes that a set of expressions names. */
interface View {
  names: readonly string[];
  kinds: Map<string, { version: number; kind: string }>;
}

interface Verdict {
  ok: boolean;
  rank: number;
}

/** Jobs with the same expressions: they are evaluated once for each kind of machine. */
interface Cluster {
  my: Ad;
  requirements: Expr;
  rank: Expr | null;
  view: View;
  verdicts: Map<string, Verdict>;
}

/** Beyond so many, what is remembered begins anew: only time is lost by it. */
const mostClusters = 20_000;
/** More than a fleet has machines: where each is of a kind of its own, a smaller one is emptied within every look. */
const mostVerdicts = 16_384;

const number = (v: Value): number =>
  typeof v === 'bigint' ? Number(v) : typeof v === 'number' && Number.isFinite(v) ? v : v === true ? 1 : 0;

/** What is wrong with a job's expressions; null: nothing. Names the field. */
export function wrongWith(m: MatchSpec): string | null {
  const fields: [string, string][] = Object.entries(m.attributes).map(([n, text]) => [
    `attributes.${n}`,
    text,
  ]);
  if (m.requirements !== null) fields.push(['requirements', m.requirements]);
  if (m.rank !== null) fields.push(['rank', m.rank]);
  for (const [field, text] of fields)
    try {
      // Guards against a verdict that was right only for a moment: it is remembered.
      if (varies(parseExpr(text))) return `${field}: must not depend on time or chance`;
    } catch (e) {
      if (e instanceof ClassAdError) return `${field}: ${e.message}`;
      throw e;
    }
  return null;
}

export class ClassAdMatcher implements Matcher {
  private readonly machines = new Map<string, Machine>();
  private readonly views = new Map<string, View>();
  private clusters = new Map<string, Cluster>();
  private versions = 0;
  /** Evaluations so far: what matching costs. */
  evaluations = 0;

  setAttributes(host: string, attributes: MachineAttributes | null): void {
    if (attributes === null) {
      this.machines.delete(host);
      for (const v of this.views.values()) v.kinds.delete(host);
      return;
    }
    this.machines.set(host, { ad: machineAd(attributes), version: ++this.versions });
  }

  matchFor(spec: JobSpec): MachineMatch | null {
    if (!spec.match) return null;
    const cluster = this.cluster(spec.match);
    return {
      hasRank: cluster.rank !== null,
      allows: (host) => this.verdict(cluster, host)?.ok ?? false,
      rank: (host) => this.verdict(cluster, host)?.rank ?? 0,
    };
  }

  /** Which machines a job's requirements leave, and which part of them excludes how many. */
  analyze(m: MatchSpec): Analysis {
    const c = this.cluster(m);
    const parts = clauses(m.requirements === null ? literal(true) : parseExpr(m.requirements)).map((e) => ({
      e,
      text: printExpr(e),
      excludes: 0,
      unknown: 0,
    }));
    const there = new Set<string>();
    let matching = 0;
    for (const [host, machine] of this.machines) {
      for (const a of machine.ad) there.add(a.name.toLowerCase());
      if (this.judge(c, machine, host).ok) matching++;
      for (const p of parts) {
        const v = evaluate(p.e, c.my, machine.ad);
        if (truth(v) === true) continue;
        p.excludes++;
        if (v === undefined) p.unknown++;
      }
    }
    const nowhere = c.view.names.filter((n) => n !== '*' && !there.has(n)).map((n) => this.spelt(m, n));
    return {
      machines: this.machines.size,
      matching,
      clauses: parts.map(({ text, excludes, unknown }) => ({ text, excludes, unknown })),
      nowhere,
    };
  }

  /** A name as its user wrote it. */
  private spelt(m: MatchSpec, name: string): string {
    const texts = [m.requirements, m.rank, ...Object.values(m.attributes)].filter((t) => t !== null);
    for (const t of texts) {
      const found = new RegExp(`\\b${name.replace(/[^\w]/g, '\\$&')}\\b`, 'i').exec(t);
      if (found) return found[0];
    }
    return name;
  }

  private cluster(m: MatchSpec): Cluster {
    const key = JSON.stringify([m.requirements, m.rank, Object.entries(m.attributes).sort()]);
    let c = this.clusters.get(key);
    if (!c) {
      if (this.clusters.size >= mostClusters) {
        this.clusters = new Map();
        this.views.clear();
      }
      this.clusters.set(key, (c = this.read(m)));
    }
    return c;
  }

  private read(m: MatchSpec): Cluster {
    const my = new Ad(
      Object.entries(m.attributes).map(([name, text]) => ({ name, expr: parseOr(text, literal(undefined)) })),
    );
    const requirements =
      m.requirements === null ? literal(true) : partial(parseOr(m.requirements, literal(false)), my);
    const rank = m.rank === null ? null : partial(parseOr(m.rank, literal(0n)), my);
    const names = [...asked(requirements, my), ...(rank ? asked(rank, my) : [])];
    // A rank that is the same everywhere is none.
    const ranks = rank !== null && rank.k !== 'lit' ? rank : null;
    return { my, requirements, rank: ranks, view: this.view(names), verdicts: new Map() };
  }

  private view(names: string[]): View {
    const sorted = [...new Set(names)].sort();
    const key = sorted.join(' ');
    let v = this.views.get(key);
    if (!v) this.views.set(key, (v = { names: sorted, kinds: new Map() }));
    return v;
  }

  /** null: nothing is known of such a machine. */
  private verdict(c: Cluster, host: string): Verdict | null {
    const machine = this.machines.get(host);
    return machine ? this.judge(c, machine, host) : null;
  }

  private judge(c: Cluster, machine: Machine, host: string): Verdict {
    const kind = this.kindOf(c.view, machine, host);
    let v = c.verdicts.get(kind);
    if (!v) {
      if (c.verdicts.size >= mostVerdicts) c.verdicts.clear();
      this.evaluations++;
      v = {
        ok: truth(evaluate(c.requirements, c.my, machine.ad)) === true,
        // One that has no value, or is an error, likes all alike.
        rank: c.rank ? number(evaluate(c.rank, c.my, machine.ad)) : 0,
      };
      c.verdicts.set(kind, v);
    }
    return v;
  }

  /** Its values of the attributes that matter; only when one of them changes is anything evaluated again. */
  private kindOf(view: View, machine: Machine, host: string): string {
    const known = view.kinds.get(host);
    if (known?.version === machine.version) return known.kind;
    const kind = view.names.includes('*')
      ? `#${machine.version}`
      : view.names
          .map((n) => {
            const e = machine.ad.get(n);
            return e ? printExpr(e) : '';
          })
          .join('\n');
    view.kinds.set(host, { version: machine.version, kind });
    return kind;
  }
}

/** What was accepted was checked; a record of another version that cannot be read matches nothing. */
function parseOr(text: string, otherwise: Expr): Expr {
  try {
    return parseExpr(text);
  } catch {
    return otherwise;
  }
}
