/** Types and conversions of values. */
import { ErrorValue, RecordValue, type Value } from './expr.js';

export { ErrorValue, RecordValue, type Value };

/** The names of the types, as functions and messages have them. */
export type TypeName = 'undefined' | 'error' | 'boolean' | 'integer' | 'real' | 'string' | 'list' | 'classad';

/** The type of a value. */
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

/** An integer, wrapped to 64 bits; a real is truncated. */
export const toInt64 = (value: number | bigint): bigint =>
  BigInt.asIntN(64, typeof value === 'bigint' ? value : BigInt(Math.trunc(value)));

/** A value as a number, with booleans as 1 and 0; null for other types. */
export function toNumber(value: Value): bigint | number | null {
  if (typeof value === 'bigint' || typeof value === 'number') return value;
  return typeof value === 'boolean' ? (value ? 1n : 0n) : null;
}

/** A value as a condition of `&&`, `!` and `?`: numbers other than zero are true. */
export function toTruth(value: Value): boolean | undefined | ErrorValue {
  if (typeof value === 'boolean' || value === undefined || value instanceof ErrorValue) return value;
  if (typeof value === 'bigint') return value !== 0n;
  if (typeof value === 'number') return value !== 0;
  return new ErrorValue(`a ${typeOf(value)} is neither true nor false`);
}
