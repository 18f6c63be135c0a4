import type { Ad, Expr, Frame } from './expr.js';
import { framesOf, rootOf } from './scopes.js';
import { noSurroundings, type Evaluating, type Surroundings } from './evaluation-context.js';
import { functions } from './functions/index.js';
import { binaryOp, unaryOp } from './operators.js';
import { parseExpr } from './parse.js';
import { Fault, RecordValue, truth, typeOf, type Value } from './values.js';

export interface Limits {
  /** Evaluations of single expressions. */
  steps: number;
  /** How deep they may stand in each other. */
  depth: number;
}

export const usualLimits: Limits = { steps: 100_000, depth: 500 };

/** Evaluates expressions, with bounds on what that may take. One for each question that is asked. */
export class Evaluation implements Evaluating {
  private steps = 0;
  private depth = 0;
  /** Attributes that are being evaluated. */
  private readonly active = new Map<Ad, Set<string>>();

  constructor(
    readonly around: Surroundings = noSurroundings,
    private readonly limits: Limits = usualLimits,
  ) {}

  run(e: Expr, f: Frame): Value {
    if (++this.steps > this.limits.steps) return new Fault(`more than ${this.limits.steps} steps`);
    if (this.depth >= this.limits.depth) return new Fault(`more than ${this.limits.depth} deep`);
    this.depth++;
    try {
      return this.step(e, f);
    } finally {
      this.depth--;
    }
  }

  /** Work that a function does besides: counted like steps. */
  spend(n: number): boolean {
    this.steps += n;
    return this.steps <= this.limits.steps;
  }

  /** Text that is evaluated as an expression here. */
  text(text: string, f: Frame): Value {
    try {
      return this.run(parseExpr(text), f);
    } catch (e) {
      return new Fault(String((e as Error).message));
    }
  }

  /** An attribute of this very record; undefined: there is none. */
  attribute(name: string, f: Frame): Value {
    const expr = f.ad.get(name);
    if (!expr) return undefined;
    if (expr.k === 'lit') return expr.v;
    const key = name.toLowerCase();
    let active = this.active.get(f.ad);
    if (!active) this.active.set(f.ad, (active = new Set()));
    if (active.has(key)) return new Fault(`${name} refers to itself`);
    active.add(key);
    try {
      return this.run(expr, f);
    } finally {
      active.delete(key);
    }
  }

  private step(e: Expr, f: Frame): Value {
    switch (e.k) {
      case 'lit':
        return e.v;
      case 'ref':
        return this.ref(e.name, e.absolute ? rootOf(f) : f);
      case 'sel':
        return this.select(this.run(e.of, f), e.name);
      case 'at':
        return this.subscript(this.run(e.of, f), this.run(e.index, f));
      case 'un': {
        const a = this.run(e.a, f);
        if (e.op !== '!') return unaryOp(e.op, a);
        const t = truth(a);
        return typeof t === 'boolean' ? !t : t;
      }
      case 'bin':
        if (e.op === '&&') return this.both(e.a, e.b, f, false);
        if (e.op === '||') return this.both(e.a, e.b, f, true);
        return binaryOp(e.op, this.run(e.a, f), this.run(e.b, f));
      case 'if': {
        const c = this.run(e.c, f);
        if (e.a === null) return c === undefined ? this.run(e.b, f) : c;
        const t = truth(c);
        return typeof t === 'boolean' ? this.run(t ? e.a : e.b, f) : t;
      }
      case 'call': {
        const fn = functions.get(e.name.toLowerCase());
        if (!fn) return new Fault(`no function ${e.name}`);
        if (e.args.length < fn.least || e.args.length > fn.most)
          return new Fault(`${e.name} takes ${fn.least} to ${fn.most} arguments`);
        return fn.call(e.args, f, this);
      }
      case 'list':
        return e.items.map((i) => this.run(i, f));
      case 'rec':
        return new RecordValue(e.ad, { ad: e.ad, parent: f, target: null });
    }
  }

  /** In its record, in those around it, then in the other side's. */
  private ref(name: string, from: Frame): Value {
    let at: Frame | null = from;
    let root = from;
    for (; at; at = at.parent) {
      if (at.ad.has(name)) return this.attribute(name, at);
      root = at;
    }
    const which = name.toLowerCase();
    if (which === 'my') return new RecordValue(root.ad, root);
    if (which === 'target') return root.target ? new RecordValue(root.target.ad, root.target) : undefined;
    return root.target ? this.attribute(name, root.target) : undefined;
  }

  private select(of: Value, name: string): Value {
    if (of instanceof RecordValue) return this.attribute(name, of.frame);
    if (of === undefined || of instanceof Fault) return of;
    return new Fault(`a ${typeOf(of)} has no attribute ${name}`);
  }

  private subscript(of: Value, index: Value): Value {
    if (of instanceof Fault) return of;
    if (index instanceof Fault) return index;
    if (of === undefined || index === undefined) return undefined;
    if (Array.isArray(of) && typeof index === 'bigint')
      return index >= 0n && index < BigInt(of.length) ? of[Number(index)] : undefined;
    if (of instanceof RecordValue && typeof index === 'string') return this.attribute(index, of.frame);
    return new Fault(`a ${typeOf(of)} has no element by a ${typeOf(index)}`);
  }

  /** `&&` with `end` false, `||` with `end` true: what decides them needs no other side. */
  private both(a: Expr, b: Expr, f: Frame, end: boolean): Value {
    const left = truth(this.run(a, f));
    if (left === end || left instanceof Fault) return left;
    const right = truth(this.run(b, f));
    if (right === end || right instanceof Fault) return right;
    return left === undefined || right === undefined ? undefined : !end;
  }
}

/** The value of an expression between two records. */
export const evaluate = (e: Expr, my: Ad, target: Ad | null = null, around = noSurroundings): Value =>
  new Evaluation(around).run(e, framesOf(my, target));
