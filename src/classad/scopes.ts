/** Scopes, in which names are looked up. */
import type { Ad, Scope } from './expr.js';

/** The scope of a record and of its target, if there is one, each the other's target. */
export function matchScopes(my: Ad, target: Ad | null = null): Scope {
  const myScope: Scope = { ad: my, parent: null, target: null };
  if (target) myScope.target = { ad: target, parent: null, target: myScope };
  return myScope;
}

/** The scope of the outermost enclosing record. */
export function outermostScope(scope: Scope): Scope {
  let current = scope;
  while (current.parent) current = current.parent;
  return current;
}
