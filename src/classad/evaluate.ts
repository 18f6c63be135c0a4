/** Evaluates ClassAd expressions against a record and, optionally, the target record that it is matched with. */
import type { ClassAd, Expr, Scope } from './expr.js';
import { matchScopes, outermostScope } from './scopes.js';
import { defaultContext, type Evaluator, type EvaluationContext } from './evaluation-context.js';
import { functions } from './functions/index.js';
import { binaryOp, unaryOp } from './operators.js';
import { parseExpr } from './parse.js';
import { ErrorValue, RecordValue, toTruth, typeOf, type Value } from './values.js';

/** Limits on the cost of one evaluation. */
export interface EvaluationLimits {
  /** Maximum number of expressions to evaluate, including nested ones. */
  readonly maxSteps: number;
  /** Maximum nesting depth of the expressions being evaluated. */
  readonly maxDepth: number;
}

/** The limits that apply if the caller passes none. */
export const defaultLimits: EvaluationLimits = { maxSteps: 100_000, maxDepth: 500 };

/** A single evaluation. If it exceeds its cost limits, the result is an error value. */
export class Evaluation implements Evaluator {
  private steps = 0;
  private depth = 0;
  /** The attributes being evaluated, in lower case, by record; used to detect circular references. */
  private readonly active = new Map<ClassAd, Set<string>>();

  constructor(
    readonly context: EvaluationContext = defaultContext,
    private readonly limits: EvaluationLimits = defaultLimits,
  ) {}

  /** Evaluates an expression in a scope. */
  run(expr: Expr, scope: Scope): Value {
    if (++this.steps > this.limits.maxSteps)
      return new ErrorValue(`evaluation takes more than ${this.limits.maxSteps} steps`);
    if (this.depth >= this.limits.maxDepth)
      return new ErrorValue(`evaluation is nested more than ${this.limits.maxDepth} levels deep`);
    this.depth++;
    try {
      return this.evaluateExpr(expr, scope);
    } finally {
      this.depth--;
    }
  }

  /** Adds the cost of a function call to the step count. Returns false if the limit is exceeded. */
  chargeSteps(steps: number): boolean {
    this.steps += steps;
    return this.steps <= this.limits.maxSteps;
  }

  /** Parses `text` as an expression and evaluates it in a scope. A syntax error gives an error value. */
  evaluateText(text: string, scope: Scope): Value {
    try {
      return this.run(parseExpr(text), scope);
    } catch (error) {
      return new ErrorValue(String((error as Error).message));
    }
  }

  /** Evaluates an attribute of the scope's own record; undefined if the record has no such attribute. */
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
        const operand = this.run(expr.operand, scope);
        if (expr.op !== '!') return unaryOp(expr.op, operand);
        const truth = toTruth(operand);
        return typeof truth === 'boolean' ? !truth : truth;
      }
      case 'binary':
        if (expr.op === '&&') return this.evaluateLogical(expr.left, expr.right, scope, false);
        if (expr.op === '||') return this.evaluateLogical(expr.left, expr.right, scope, true);
        return binaryOp(expr.op, this.run(expr.left, scope), this.run(expr.right, scope));
      case 'conditional': {
        const condition = this.run(expr.condition, scope);
        if (expr.whenTrue === null)
          return condition === undefined ? this.run(expr.whenFalse, scope) : condition;
        const truth = toTruth(condition);
        return typeof truth === 'boolean' ? this.run(truth ? expr.whenTrue : expr.whenFalse, scope) : truth;
      }
      case 'call': {
        const spec = functions.get(expr.name.toLowerCase());
        if (!spec) return new ErrorValue(`unknown function ${expr.name}`);
        if (expr.args.length < spec.minArgs || expr.args.length > spec.maxArgs)
          return new ErrorValue(`${expr.name} takes ${spec.minArgs} to ${spec.maxArgs} arguments`);
        return spec.call(expr.args, scope, this);
      }
      case 'list':
        return expr.items.map((item) => this.run(item, scope));
      case 'record':
        return new RecordValue(expr.ad, { ad: expr.ad, parent: scope, target: null });
    }
  }

  /** Resolves a name in the scope's record, then in the enclosing records, then in the target record. */
  private resolveReference(name: string, from: Scope): Value {
    let outermost = from;
    for (let scope: Scope | null = from; scope; scope = scope.parent) {
      if (scope.ad.has(name)) return this.attribute(name, scope);
      outermost = scope;
    }
    const key = name.toLowerCase();
    if (key === 'my') return new RecordValue(outermost.ad, outermost);
    if (key === 'target')
      return outermost.target ? new RecordValue(outermost.target.ad, outermost.target) : undefined;
    return outermost.target ? this.attribute(name, outermost.target) : undefined;
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
    return new ErrorValue(`cannot index a ${typeOf(of)} with a ${typeOf(index)}`);
  }

  /**
   * Evaluates `&&` or `||`. An operand equal to `shortCircuitValue` (false for `&&`, true for `||`) determines the result; the
   * right operand is evaluated only if the left one does not.
   */
  private evaluateLogical(leftExpr: Expr, rightExpr: Expr, scope: Scope, shortCircuitValue: boolean): Value {
    const left = toTruth(this.run(leftExpr, scope));
    if (left === shortCircuitValue || left instanceof ErrorValue) return left;
    const right = toTruth(this.run(rightExpr, scope));
    if (right === shortCircuitValue || right instanceof ErrorValue) return right;
    return left === undefined || right === undefined ? undefined : !shortCircuitValue;
  }
}

/** Evaluates an expression in the scope of the record `my`, with `target` as the record that it is matched with. */
export const evaluate = (
  expr: Expr,
  my: ClassAd,
  target: ClassAd | null = null,
  context = defaultContext,
): Value => new Evaluation(context).run(expr, matchScopes(my, target));
