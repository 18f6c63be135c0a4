/** Errors of the store that an operator can act on. */

/** An error whose one-line message says what is wrong and what to do about it. */
export class StoreError extends Error {
  constructor(
    readonly kind: 'locked' | 'damaged' | 'version' | 'foreign' | 'full' | 'failed',
    message: string,
  ) {
    super(message);
  }
}
