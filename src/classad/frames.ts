import type { Ad } from './expr.js';

/** Where an expression stands: its record, those around it, and the record that it is matched with. */
export interface Frame {
  ad: Ad;
  parent: Frame | null;
  /** The outermost record's other side. */
  target: Frame | null;
}

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
