import { Evaluation } from './evaluate.js';
import type { EvaluationContext } from './evaluation-context.js';
import { literal, type Ad, type Expr } from './expr.js';
import { matchScopes } from './scopes.js';
import { functions } from './functions/index.js';
import { matchSideOf } from './refs.js';
import { RecordValue, type Value } from './values.js';

/**
 * What is left of an expression once one side is known: all of it that does not depend on the other side, the time or chance
 * is evaluated. Evaluated against any other side, what is left comes to the same as the whole.
 */
export function partiallyEvaluate(expr: Expr, my: Ad, around?: EvaluationContext): Expr {
  const active = new Set<string>();
  const frame = matchScopes(my);

  const fold = (x: Expr): Expr => {
    const v = new Evaluation(around).run(x, frame);
    return isPrintable(v) ? literal(v) : x;
  };
  /** One of my own attributes; null: it stays as it is written. */
  const ownAttribute = (name: string): Expr | null => {
    const key = name.toLowerCase();
    const expr = my.get(name);
    if (!expr || active.has(key)) return null;
    active.add(key);
    const left = reduce(expr);
    active.delete(key);
    return left.kind === 'literal' ? left : null;
  };
  const reduce = (expr: Expr): Expr => {
    switch (expr.kind) {
      case 'literal':
      case 'record':
        return expr;
      case 'reference':
        return (my.has(expr.name) ? ownAttribute(expr.name) : null) ?? expr;
      case 'selection': {
        const side = matchSideOf(expr.of);
        if (side === 'target' || (side === 'my' && my.has('my'))) return expr;
        if (side === 'my') return my.has(expr.name) ? (ownAttribute(expr.name) ?? expr) : literal(undefined);
        return { kind: 'selection', of: reduce(expr.of), name: expr.name };
      }
      case 'subscript': {
        const y: Expr = { kind: 'subscript', of: reduce(expr.of), index: reduce(expr.index) };
        return isConstant(y.of) && isConstant(y.index) ? fold(y) : y;
      }
      case 'unary': {
        const y: Expr = { kind: 'unary', op: expr.op, operand: reduce(expr.operand) };
        return isConstant(y.operand) ? fold(y) : y;
      }
      case 'binary': {
        const y: Expr = { kind: 'binary', op: expr.op, left: reduce(expr.left), right: reduce(expr.right) };
        if (isConstant(y.left) && isConstant(y.right)) return fold(y);
        // Decided by its left side alone, whatever the right one is.
        if ((expr.op === '&&' || expr.op === '||') && isConstant(y.left)) {
          const alone = fold({ kind: 'binary', op: expr.op, left: y.left, right: literal(undefined) });
          if (alone.kind === 'literal' && alone.value !== undefined) return alone;
        }
        return y;
      }
      case 'conditional': {
        const c = reduce(expr.condition);
        const a = expr.whenTrue && reduce(expr.whenTrue);
        const b = reduce(expr.whenFalse);
        if (!isConstant(c)) return { kind: 'conditional', condition: c, whenTrue: a, whenFalse: b };
        if (a === null) return c.kind === 'literal' && c.value === undefined ? b : c;
        const which = fold({
          kind: 'conditional',
          condition: c,
          whenTrue: literal(true),
          whenFalse: literal(false),
        });
        return which.kind === 'literal' && which.value === true
          ? a
          : which.kind === 'literal' && which.value === false
            ? b
            : which;
      }
      case 'call': {
        const args = expr.args.map(reduce);
        const fn = functions.get(expr.name.toLowerCase());
        const y: Expr = { kind: 'call', name: expr.name, args };
        // Some see their arguments as they are written.
        if (fn?.unevaluatedArgs) return expr;
        return args.every(isConstant) && !fn?.nonDeterministic ? fold(y) : y;
      }
      case 'list':
        return { kind: 'list', items: expr.items.map(reduce) };
    }
  };
  return reduce(expr);
}

const isConstant = (expr: Expr): boolean =>
  expr.kind === 'literal' || (expr.kind === 'list' && expr.items.every(isConstant));
const isPrintable = (value: Value): boolean =>
  !(value instanceof RecordValue) && !(Array.isArray(value) && !value.every(isPrintable));
