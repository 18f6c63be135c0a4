import { ErrorValue, RecordValue, type Value } from './expr.js';

export { ErrorValue, RecordValue, type Value };

export type TypeName = 'undefined' | 'error' | 'boolean' | 'integer' | 'real' | 'string' | 'list' | 'classad';

export function typeOf(v: Value): TypeName {
  if (v === undefined) return 'undefined';
  if (v instanceof ErrorValue) return 'error';
  if (Array.isArray(v)) return 'list';
  if (v instanceof RecordValue) return 'classad';
  switch (typeof v) {
    case 'boolean':
      return 'boolean';
    case 'bigint':
      return 'integer';
    case 'number':
      return 'real';
    default:
      return 'string';
  }
}

export const int = (n: number | bigint): bigint =>
  BigInt.asIntN(64, typeof n === 'bigint' ? n : BigInt(Math.trunc(n)));

/** Numbers, and booleans as 1 and 0; null: it is none. */
export function numeric(v: Value): bigint | number | null {
  if (typeof v === 'bigint' || typeof v === 'number') return v;
  return typeof v === 'boolean' ? (v ? 1n : 0n) : null;
}

/** As `&&`, `!` and `?` see it: numbers other than zero are true. */
export function truth(v: Value): boolean | undefined | ErrorValue {
  if (typeof v === 'boolean' || v === undefined || v instanceof ErrorValue) return v;
  if (typeof v === 'bigint') return v !== 0n;
  if (typeof v === 'number') return v !== 0;
  return new ErrorValue(`a ${typeOf(v)} is neither true nor false`);
}
