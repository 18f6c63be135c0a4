/** How long work waits for what is kept for others. */
import type { Settings } from '../../config/settings.js';

/** For so many worker leases room may be kept for others while work that it fits waits. */
const maxReservationLeases = 2.5;

export const maxReservationAgeMs = (settings: Settings): number =>
  settings.workers.lease_s * 1000 * maxReservationLeases;
