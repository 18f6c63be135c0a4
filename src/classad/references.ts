/** Static analysis of the attributes and functions that expressions refer to. */
import { children, type ClassAd, type Expr } from './expr.js';
import { functions } from './functions/index.js';

/** Returns which of the two records an expression denotes, as in `MY.x` and `TARGET.x`; null if neither. */
export function matchSideOf(expr: Expr): 'my' | 'target' | null {
  if (expr.kind !== 'reference' || expr.absolute) return null;
  const name = expr.name.toLowerCase();
  return name === 'my' || name === 'target' ? name : null;
}

/**
 * Returns the names, in lower case, of the target's attributes that an expression refers to, directly or through attributes of
 * its own record. `*` stands for all attributes: the names are known only at evaluation (`eval`, a subscript of TARGET).
 */
export function referencedAttributes(expr: Expr, my: ClassAd): Set<string> {
  const found = new Set<string>();
  const seen = new Set<string>();
  const visitOwnAttribute = (name: string): void => {
    const key = name.toLowerCase();
    if (seen.has(key)) return;
    seen.add(key);
    const own = my.get(name);
    if (own) visit(own);
  };
  const visit = (part: Expr): void => {
    if (part.kind === 'selection') {
      const side = matchSideOf(part.of);
      if (side === 'target') return void found.add(part.name.toLowerCase());
      if (side === 'my') return visitOwnAttribute(part.name);
    }
    if (part.kind === 'reference') {
      const side = matchSideOf(part);
      if (side === 'target') found.add('*');
      else if (side === null) {
        if (my.has(part.name)) visitOwnAttribute(part.name);
        else if (!part.absolute) found.add(part.name.toLowerCase());
      }
    }
    if (part.kind === 'call' && part.name.toLowerCase() === 'eval') found.add('*');
    // Names that a nested record itself defines are included as well: a superset of the references is still correct.
    for (const child of children(part)) visit(child);
  };
  visit(expr);
  return found;
}

/** Whether an expression calls a non-deterministic function. Attributes that it refers to are not followed. */
export function isNonDeterministic(expr: Expr): boolean {
  if (expr.kind === 'call' && functions.get(expr.name.toLowerCase())?.nonDeterministic) return true;
  return children(expr).some(isNonDeterministic);
}
