import { children, type Ad, type Expr } from './expr.js';
import { functions } from './functions/index.js';

/** Whether a selection is of one of the two sides: `MY.x`, `TARGET.x`. */
export function matchSideOf(expr: Expr): 'my' | 'target' | null {
  if (expr.kind !== 'reference' || expr.absolute) return null;
  const name = expr.name.toLowerCase();
  return name === 'my' || name === 'target' ? name : null;
}

/**
 * The names that an expression of one record asks of the other, through its own attributes, in lower case. What is only known
 * when it is evaluated (`eval`, a subscript of TARGET) is told by '*': anything.
 */
export function referencedAttributes(expr: Expr, my: Ad): Set<string> {
  const found = new Set<string>();
  const seen = new Set<string>();
  const visitOwnAttribute = (name: string): void => {
    const key = name.toLowerCase();
    if (seen.has(key)) return;
    seen.add(key);
    const own = my.get(name);
    if (own) visit(own);
  };
  const visit = (x: Expr): void => {
    if (x.kind === 'selection') {
      const side = matchSideOf(x.of);
      if (side === 'target') return void found.add(x.name.toLowerCase());
      if (side === 'my') return visitOwnAttribute(x.name);
    }
    if (x.kind === 'reference') {
      const side = matchSideOf(x);
      if (side === 'target') found.add('*');
      else if (side === null) {
        if (my.has(x.name)) visitOwnAttribute(x.name);
        else if (!x.absolute) found.add(x.name.toLowerCase());
      }
    }
    if (x.kind === 'call' && x.name.toLowerCase() === 'eval') found.add('*');
    // Inside a nested record its own names come first; asking for too many only costs.
    for (const c of children(x)) visit(c);
  };
  visit(expr);
  return found;
}

/** Whether time or chance decide what it comes to, as far as it is written there. */
export function isNonDeterministic(expr: Expr): boolean {
  if (expr.kind === 'call' && functions.get(expr.name.toLowerCase())?.nonDeterministic) return true;
  return children(expr).some(isNonDeterministic);
}
