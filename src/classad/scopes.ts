import type { Ad, Scope } from './expr.js';

/** Two records that look at each other; without a second, one alone. */
export function matchScopes(my: Ad, target: Ad | null = null): Scope {
  const myScope: Scope = { ad: my, parent: null, target: null };
  if (target) myScope.target = { ad: target, parent: null, target: myScope };
  return myScope;
}

export function outermostScope(scope: Scope): Scope {
  let current = scope;
  while (current.parent) current = current.parent;
  return current;
}
