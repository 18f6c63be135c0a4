/** What an operator can do something about: one line that says what is wrong and what to do. */
export class StoreError extends Error {
  constructor(
    readonly kind: 'locked' | 'damaged' | 'version' | 'foreign' | 'full' | 'failed',
    message: string,
  ) {
    super(message);
  }
}
