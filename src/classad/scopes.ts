import type { Ad, Frame } from './expr.js';

/** Two records that look at each other; without a second, one alone. */
export function framesOf(my: Ad, target: Ad | null = null): Frame {
  const mine: Frame = { ad: my, parent: null, target: null };
  if (target) mine.target = { ad: target, parent: null, target: mine };
  return mine;
}

export function rootOf(f: Frame): Frame {
  let at = f;
  while (at.parent) at = at.parent;
  return at;
}
