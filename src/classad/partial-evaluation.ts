/** Partial evaluation: simplifies an expression as far as its own record alone determines it. */
import { Evaluation } from './evaluate.js';
import type { EvaluationContext } from './evaluation-context.js';
import { literal, type ClassAd, type Expr } from './expr.js';
import { functions } from './functions/index.js';
import { matchSideOf } from './references.js';
import { matchScopes } from './scopes.js';
import { RecordValue, type Value } from './values.js';

/**
 * Replaces the parts of an expression that depend neither on the target record nor on the time or random numbers by their values.
 * For every target record, the result evaluates to the same value as the original expression.
 */
export const partiallyEvaluate = (expr: Expr, my: ClassAd, context?: EvaluationContext): Expr =>
  new PartialEvaluator(my, context).reduce(expr);

type ExprOf<Kind extends Expr['kind']> = Extract<Expr, { kind: Kind }>;

class PartialEvaluator {
  /** Attributes of the own record that are being reduced, in lower case; used to detect circular references. */
  private readonly active = new Set<string>();
  private readonly scope;

  constructor(
    private readonly my: ClassAd,
    private readonly context: EvaluationContext | undefined,
  ) {
    this.scope = matchScopes(my);
  }

  reduce(expr: Expr): Expr {
    switch (expr.kind) {
      case 'literal':
      case 'record':
        return expr;
      case 'reference':
        return (this.my.has(expr.name) ? this.ownAttribute(expr.name) : null) ?? expr;
      case 'selection':
        return this.reduceSelection(expr);
      case 'subscript': {
        const [of, index] = [this.reduce(expr.of), this.reduce(expr.index)];
        return this.foldIf(isConstant(of) && isConstant(index), { kind: 'subscript', of, index });
      }
      case 'unary': {
        const operand = this.reduce(expr.operand);
        return this.foldIf(isConstant(operand), { kind: 'unary', op: expr.op, operand });
      }
      case 'binary':
        return this.reduceBinary(expr);
      case 'conditional':
        return this.reduceConditional(expr);
      case 'call':
        return this.reduceCall(expr);
      case 'list':
        return { kind: 'list', items: expr.items.map((item) => this.reduce(item)) };
    }
  }

  /** Evaluates an expression and returns its value as a literal; returns the expression itself if a literal cannot hold it. */
  private fold(expr: Expr): Expr {
    const value = new Evaluation(this.context).run(expr, this.scope);
    return isPrintable(value) ? literal(value) : expr;
  }

  private foldIf(constant: boolean, expr: Expr): Expr {
    return constant ? this.fold(expr) : expr;
  }

  /** Returns the value of an attribute of the own record as a literal; null if it is not constant. */
  private ownAttribute(name: string): Expr | null {
    const key = name.toLowerCase();
    const expr = this.my.get(name);
    if (!expr || this.active.has(key)) return null;
    this.active.add(key);
    const reduced = this.reduce(expr);
    this.active.delete(key);
    return reduced.kind === 'literal' ? reduced : null;
  }

  private reduceSelection(expr: ExprOf<'selection'>): Expr {
    const side = matchSideOf(expr.of);
    if (side === 'target' || (side === 'my' && this.my.has('my'))) return expr;
    if (side === 'my')
      return this.my.has(expr.name) ? (this.ownAttribute(expr.name) ?? expr) : literal(undefined);
    return { kind: 'selection', of: this.reduce(expr.of), name: expr.name };
  }

  private reduceBinary(expr: ExprOf<'binary'>): Expr {
    const { op } = expr;
    const [left, right] = [this.reduce(expr.left), this.reduce(expr.right)];
    const reduced: Expr = { kind: 'binary', op, left, right };
    if (isConstant(left) && isConstant(right)) return this.fold(reduced);
    // The left operand alone may determine the result of a logical operator.
    if ((op === '&&' || op === '||') && isConstant(left)) {
      const decided = this.fold({ kind: 'binary', op, left, right: literal(undefined) });
      if (decided.kind === 'literal' && decided.value !== undefined) return decided;
    }
    return reduced;
  }

  private reduceConditional(expr: ExprOf<'conditional'>): Expr {
    const condition = this.reduce(expr.condition);
    const whenTrue = expr.whenTrue && this.reduce(expr.whenTrue);
    const whenFalse = this.reduce(expr.whenFalse);
    if (!isConstant(condition)) return { kind: 'conditional', condition, whenTrue, whenFalse };
    if (whenTrue === null)
      return condition.kind === 'literal' && condition.value === undefined ? whenFalse : condition;
    const choice = this.fold({
      kind: 'conditional',
      condition,
      whenTrue: literal(true),
      whenFalse: literal(false),
    });
    if (choice.kind === 'literal' && choice.value === true) return whenTrue;
    return choice.kind === 'literal' && choice.value === false ? whenFalse : choice;
  }

  private reduceCall(expr: ExprOf<'call'>): Expr {
    const spec = functions.get(expr.name.toLowerCase());
    const args = expr.args.map((arg) => this.reduce(arg));
    if (spec?.unevaluatedArgs) return expr;
    const constant = args.every(isConstant) && !spec?.nonDeterministic;
    return this.foldIf(constant, { kind: 'call', name: expr.name, args });
  }
}

const isConstant = (expr: Expr): boolean =>
  expr.kind === 'literal' || (expr.kind === 'list' && expr.items.every(isConstant));
const isPrintable = (value: Value): boolean =>
  !(value instanceof RecordValue) && !(Array.isArray(value) && !value.every(isPrintable));
