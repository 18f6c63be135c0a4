/** Ageing of reservations: how long work waits beside room that is kept for other work. */
import type { Settings } from '../../config/settings.js';

/** Room may be kept for other work for this many worker leases, while work that it fits waits. */
const maxReservationLeases = 2.5;

/** How long room may be kept for other work while work that it fits waits, ms. */
export const maxReservationAgeMs = (settings: Settings): number =>
  settings.workers.lease_s * 1000 * maxReservationLeases;
