/** Measures the collections in an object graph, so that tests can check that none of them grows without bound. */

/**
 * The sizes of all arrays, sets and maps that an object holds, keyed by their property path. The elements of sets and maps are
 * not visited, and those of an array only if its first element is an array.
 */
export function collectionSizes(root: object): Map<string, number> {
  const sizesByPath = new Map<string, number>();
  const visited = new Set<object>();
  const visit = (container: object, path: string): void => {
    if (visited.has(container) || path.split('.').length > 8) return;
    visited.add(container);
    if (container instanceof Map || container instanceof Set)
      return void sizesByPath.set(path, container.size);
    if (Array.isArray(container)) {
      sizesByPath.set(path, container.length);
      if (container.length > 0 && Array.isArray(container[0]))
        container.forEach((x: unknown[], i) => visit(x, `${path}.${i}`));
      return;
    }
    for (const [key, value] of Object.entries(container))
      if (typeof value === 'object' && value !== null)
        visit(value as object, path === '' ? key : `${path}.${key}`);
  };
  visit(root, '');
  return sizesByPath;
}
