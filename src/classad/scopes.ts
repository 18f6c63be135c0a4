/** Creates and navigates the scopes in which names are resolved. */
import type { ClassAd, Scope } from './expr.js';

/** Creates the scope of a record. If a target is given, the two records are each other's target. */
export function matchScopes(my: ClassAd, target: ClassAd | null = null): Scope {
  const myScope: Scope = { ad: my, parent: null, target: null };
  if (target) myScope.target = { ad: target, parent: null, target: myScope };
  return myScope;
}

/** Returns the scope of the outermost enclosing record. */
export function outermostScope(scope: Scope): Scope {
  let current = scope;
  while (current.parent) current = current.parent;
  return current;
}
