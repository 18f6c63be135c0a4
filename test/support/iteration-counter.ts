/** Counts how many elements of collections a function visits: a measure of its work that does not depend on the machine. */

type IteratorPrototype = Record<'next', (this: unknown) => unknown>;

/** The prototypes of the iterators of maps, sets and arrays, which `for`-`of` and spread use. */
const iteratorPrototypes = [new Map().entries(), new Set().values(), [].values()].map(
  (iterator) => Object.getPrototypeOf(iterator) as IteratorPrototype,
);

/** Methods of arrays that may visit every element. */
const visitingMethods = [
  'every',
  'filter',
  'find',
  'findIndex',
  'flatMap',
  'forEach',
  'includes',
  'indexOf',
  'map',
  'reduce',
  'some',
  'sort',
] as const;

type ArrayMethods = Record<string, (this: unknown[], ...args: unknown[]) => unknown>;

/** Runs a function, and returns how many elements of maps, sets and arrays it has visited. */
export function countVisits(run: () => void): number {
  let visits = 0;
  const restorers: (() => void)[] = [];
  for (const prototype of iteratorPrototypes) {
    const { next } = prototype;
    prototype.next = function () {
      visits++;
      return next.call(this);
    };
    restorers.push(() => void (prototype.next = next));
  }
  const arrayMethods = Array.prototype as unknown as ArrayMethods;
  for (const name of visitingMethods) {
    const method = arrayMethods[name];
    arrayMethods[name] = function (...args) {
      visits += this.length;
      return method.apply(this, args);
    };
    restorers.push(() => void (arrayMethods[name] = method));
  }
  try {
    run();
  } finally {
    for (const restore of restorers) restore();
  }
  return visits;
}
