import type { Ad, Expr, Scope } from './expr.js';
import { matchScopes, outermostScope } from './scopes.js';
import { defaultContext, type Evaluator, type EvaluationContext } from './evaluation-context.js';
import { functions } from './functions/index.js';
import { binaryOp, unaryOp } from './operators.js';
import { parseExpr } from './parse.js';
import { ErrorValue, RecordValue, toTruth, typeOf, type Value } from './values.js';

export interface EvaluationLimits {
  /** Evaluations of single expressions. */
  maxSteps: number;
  /** How deep they may stand in each other. */
  maxDepth: number;
}

export const defaultLimits: EvaluationLimits = { maxSteps: 100_000, maxDepth: 500 };

/** Evaluates expressions, with bounds on what that may take. One for each question that is asked. */
export class Evaluation implements Evaluator {
  private steps = 0;
  private depth = 0;
  /** Attributes that are being evaluated. */
  private readonly active = new Map<Ad, Set<string>>();

  constructor(
    readonly context: EvaluationContext = defaultContext,
    private readonly limits: EvaluationLimits = defaultLimits,
  ) {}

  run(expr: Expr, scope: Scope): Value {
    if (++this.steps > this.limits.maxSteps) return new ErrorValue(`more than ${this.limits.maxSteps} steps`);
    if (this.depth >= this.limits.maxDepth) return new ErrorValue(`more than ${this.limits.maxDepth} deep`);
    this.depth++;
    try {
      return this.evaluateExpr(expr, scope);
    } finally {
      this.depth--;
    }
  }

  /** Work that a function does besides: counted like steps. */
  spend(steps: number): boolean {
    this.steps += steps;
    return this.steps <= this.limits.maxSteps;
  }

  /** Text that is evaluated as an expression here. */
  evaluateText(text: string, scope: Scope): Value {
    try {
      return this.run(parseExpr(text), scope);
    } catch (e) {
      return new ErrorValue(String((e as Error).message));
    }
  }

  /** An attribute of this very record; undefined: there is none. */
  attribute(name: string, scope: Scope): Value {
    const expr = scope.ad.get(name);
    if (!expr) return undefined;
    if (expr.kind === 'literal') return expr.value;
    const key = name.toLowerCase();
    let active = this.active.get(scope.ad);
    if (!active) this.active.set(scope.ad, (active = new Set()));
    if (active.has(key)) return new ErrorValue(`${name} refers to itself`);
    active.add(key);
    try {
      return this.run(expr, scope);
    } finally {
      active.delete(key);
    }
  }

  private evaluateExpr(expr: Expr, scope: Scope): Value {
    switch (expr.kind) {
      case 'literal':
        return expr.value;
      case 'reference':
        return this.resolveReference(expr.name, expr.absolute ? outermostScope(scope) : scope);
      case 'selection':
        return this.selectAttribute(this.run(expr.of, scope), expr.name);
      case 'subscript':
        return this.subscript(this.run(expr.of, scope), this.run(expr.index, scope));
      case 'unary': {
        const a = this.run(expr.operand, scope);
        if (expr.op !== '!') return unaryOp(expr.op, a);
        const t = toTruth(a);
        return typeof t === 'boolean' ? !t : t;
      }
      case 'binary':
        if (expr.op === '&&') return this.evaluateLogical(expr.left, expr.right, scope, false);
        if (expr.op === '||') return this.evaluateLogical(expr.left, expr.right, scope, true);
        return binaryOp(expr.op, this.run(expr.left, scope), this.run(expr.right, scope));
      case 'conditional': {
        const c = this.run(expr.condition, scope);
        if (expr.whenTrue === null) return c === undefined ? this.run(expr.whenFalse, scope) : c;
        const t = toTruth(c);
        return typeof t === 'boolean' ? this.run(t ? expr.whenTrue : expr.whenFalse, scope) : t;
      }
      case 'call': {
        const fn = functions.get(expr.name.toLowerCase());
        if (!fn) return new ErrorValue(`no function ${expr.name}`);
        if (expr.args.length < fn.minArgs || expr.args.length > fn.maxArgs)
          return new ErrorValue(`${expr.name} takes ${fn.minArgs} to ${fn.maxArgs} arguments`);
        return fn.call(expr.args, scope, this);
      }
      case 'list':
        return expr.items.map((i) => this.run(i, scope));
      case 'record':
        return new RecordValue(expr.ad, { ad: expr.ad, parent: scope, target: null });
    }
  }

  /** In its record, in those around it, then in the other side's. */
  private resolveReference(name: string, from: Scope): Value {
    let at: Scope | null = from;
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

  private selectAttribute(of: Value, name: string): Value {
    if (of instanceof RecordValue) return this.attribute(name, of.scope);
    if (of === undefined || of instanceof ErrorValue) return of;
    return new ErrorValue(`a ${typeOf(of)} has no attribute ${name}`);
  }

  private subscript(of: Value, index: Value): Value {
    if (of instanceof ErrorValue) return of;
    if (index instanceof ErrorValue) return index;
    if (of === undefined || index === undefined) return undefined;
    if (Array.isArray(of) && typeof index === 'bigint')
      return index >= 0n && index < BigInt(of.length) ? of[Number(index)] : undefined;
    if (of instanceof RecordValue && typeof index === 'string') return this.attribute(index, of.scope);
    return new ErrorValue(`a ${typeOf(of)} has no element by a ${typeOf(index)}`);
  }

  /** `&&` with `end` false, `||` with `end` true: what decides them needs no other side. */
  private evaluateLogical(a: Expr, b: Expr, scope: Scope, decisive: boolean): Value {
    const left = toTruth(this.run(a, scope));
    if (left === decisive || left instanceof ErrorValue) return left;
    const right = toTruth(this.run(b, scope));
    if (right === decisive || right instanceof ErrorValue) return right;
    return left === undefined || right === undefined ? undefined : !decisive;
  }
}

/** The value of an expression between two records. */
export const evaluate = (expr: Expr, my: Ad, target: Ad | null = null, context = defaultContext): Value =>
  new Evaluation(context).run(expr, matchScopes(my, target));
