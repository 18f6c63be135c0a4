/** The state service's implementation: a small key-value store with transactions, leases and watches. */
export { Engine, type Outcome } from './engine.js';
export { EmbeddedStore } from './embedded.js';
export { format, LevelDisk, type Disk } from './disk.js';
export { StoreError } from './errors.js';
export { storeServer, type Refusal, type RequestGate } from './http.js';
export { Keyspace, type Delta, type Entry, type Loaded } from './keyspace.js';
export { restoreSnapshot, snapshotInto, writeSnapshot } from './snapshot.js';
