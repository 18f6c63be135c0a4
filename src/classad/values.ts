import { ErrorValue, RecordValue, type Value } from './expr.js';

export { ErrorValue, RecordValue, type Value };

export type TypeName = 'undefined' | 'error' | 'boolean' | 'integer' | 'real' | 'string' | 'list' | 'classad';

export function typeOf(value: Value): TypeName {
  if (value === undefined) return 'undefined';
  if (value instanceof ErrorValue) return 'error';
  if (Array.isArray(value)) return 'list';
  if (value instanceof RecordValue) return 'classad';
  switch (typeof value) {
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

export const toInt64 = (value: number | bigint): bigint =>
  BigInt.asIntN(64, typeof value === 'bigint' ? value : BigInt(Math.trunc(value)));

/** Numbers, and booleans as 1 and 0; null: it is none. */
export function toNumber(value: Value): bigint | number | null {
  if (typeof value === 'bigint' || typeof value === 'number') return value;
  return typeof value === 'boolean' ? (value ? 1n : 0n) : null;
}

/** As `&&`, `!` and `?` see it: numbers other than zero are true. */
export function toTruth(value: Value): boolean | undefined | ErrorValue {
  if (typeof value === 'boolean' || value === undefined || value instanceof ErrorValue) return value;
  if (typeof value === 'bigint') return value !== 0n;
  if (typeof value === 'number') return value !== 0;
  return new ErrorValue(`a ${typeOf(value)} is neither true nor false`);
}
