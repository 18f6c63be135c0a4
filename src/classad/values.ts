/** Types and conversions of ClassAd values. */
import { ErrorValue, RecordValue, type Value } from './expr.js';

export { ErrorValue, RecordValue, type Value };

/** The names of the value types, as they appear in messages. */
export type TypeName = 'undefined' | 'error' | 'boolean' | 'integer' | 'real' | 'string' | 'list' | 'classad';

/** Returns the type of a value. */
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

/** Converts a number to a 64-bit integer: reals are truncated, and values out of range wrap around. */
export const toInt64 = (value: number | bigint): bigint =>
  BigInt.asIntN(64, typeof value === 'bigint' ? value : BigInt(Math.trunc(value)));

/** Converts a value to a number, booleans to 1 and 0; null for other types. */
export function toNumber(value: Value): bigint | number | null {
  if (typeof value === 'bigint' || typeof value === 'number') return value;
  return typeof value === 'boolean' ? (value ? 1n : 0n) : null;
}

/** Converts a value to a truth value, as an operand of `&&`, `||`, `!` or `?`. Numbers other than zero are true. */
export function toTruth(value: Value): boolean | undefined | ErrorValue {
  if (typeof value === 'boolean' || value === undefined || value instanceof ErrorValue) return value;
  if (typeof value === 'bigint') return value !== 0n;
  if (typeof value === 'number') return value !== 0;
  return new ErrorValue(`a ${typeOf(value)} cannot be used as a boolean`);
}
