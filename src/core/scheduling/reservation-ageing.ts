/** Ageing of reservations: limits how long free capacity stays reserved while other jobs that it would fit wait. */
import type { Settings } from '../../config/settings.js';

/** The limit on the age of reserved free capacity, in worker lease durations. */
const maxReservationLeases = 2.5;

/** How long free capacity may stay reserved while other jobs that it would fit wait, ms. Beyond that it is aged capacity. */
export const maxReservationAgeMs = (settings: Settings): number =>
  settings.workers.lease_s * 1000 * maxReservationLeases;
