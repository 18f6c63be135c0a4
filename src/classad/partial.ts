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
export function partiallyEvaluate(e: Expr, my: Ad, around?: EvaluationContext): Expr {
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
    return left.k === 'lit' ? left : null;
  };
  const reduce = (x: Expr): Expr => {
    switch (x.k) {
      case 'lit':
      case 'rec':
        return x;
      case 'ref':
        return (my.has(x.name) ? ownAttribute(x.name) : null) ?? x;
      case 'sel': {
        const side = matchSideOf(x.of);
        if (side === 'target' || (side === 'my' && my.has('my'))) return x;
        if (side === 'my') return my.has(x.name) ? (ownAttribute(x.name) ?? x) : literal(undefined);
        return { ...x, of: reduce(x.of) };
      }
      case 'at': {
        const y: Expr = { k: 'at', of: reduce(x.of), index: reduce(x.index) };
        return isConstant(y.of) && isConstant(y.index) ? fold(y) : y;
      }
      case 'un': {
        const y: Expr = { ...x, a: reduce(x.a) };
        return isConstant(y.a) ? fold(y) : y;
      }
      case 'bin': {
        const y: Expr = { ...x, a: reduce(x.a), b: reduce(x.b) };
        if (isConstant(y.a) && isConstant(y.b)) return fold(y);
        // Decided by its left side alone, whatever the right one is.
        if ((x.op === '&&' || x.op === '||') && isConstant(y.a)) {
          const alone = fold({ k: 'bin', op: x.op, a: y.a, b: literal(undefined) });
          if (alone.k === 'lit' && alone.v !== undefined) return alone;
        }
        return y;
      }
      case 'if': {
        const c = reduce(x.c);
        const a = x.a && reduce(x.a);
        const b = reduce(x.b);
        if (!isConstant(c)) return { k: 'if', c, a, b };
        if (a === null) return c.k === 'lit' && c.v === undefined ? b : c;
        const which = fold({ k: 'if', c, a: literal(true), b: literal(false) });
        return which.k === 'lit' && which.v === true ? a : which.k === 'lit' && which.v === false ? b : which;
      }
      case 'call': {
        const args = x.args.map(reduce);
        const fn = functions.get(x.name.toLowerCase());
        const y: Expr = { k: 'call', name: x.name, args };
        // Some see their arguments as they are written.
        if (fn?.unevaluatedArgs) return x;
        return args.every(isConstant) && !fn?.nonDeterministic ? fold(y) : y;
      }
      case 'list':
        return { k: 'list', items: x.items.map(reduce) };
    }
  };
  return reduce(e);
}

const isConstant = (e: Expr): boolean => e.k === 'lit' || (e.k === 'list' && e.items.every(isConstant));
const isPrintable = (v: Value): boolean =>
  !(v instanceof RecordValue) && !(Array.isArray(v) && !v.every(isPrintable));
