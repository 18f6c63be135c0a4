/** The sizes of all lists, sets and maps that an object holds, by their path in it; what is in them is not looked into. */
export function sizes(root: object): Map<string, number> {
  const found = new Map<string, number>();
  const seen = new Set<object>();
  const visit = (o: object, path: string): void => {
    if (seen.has(o) || path.split('.').length > 8) return;
    seen.add(o);
    if (o instanceof Map || o instanceof Set) return void found.set(path, o.size);
    if (Array.isArray(o)) {
      found.set(path, o.length);
      if (o.length > 0 && Array.isArray(o[0])) o.forEach((x: unknown[], i) => visit(x, `${path}.${i}`));
      return;
    }
    for (const [key, value] of Object.entries(o))
      if (typeof value === 'object' && value !== null)
        visit(value as object, path === '' ? key : `${path}.${key}`);
  };
  visit(root, '');
  return found;
}
