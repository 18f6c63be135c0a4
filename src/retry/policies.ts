import type { RetryPolicy } from './attempts.js';

/** What the policies are derived from: the platform's settings. */
export interface RetrySettings {
  workers: { report_s: number; lease_s: number };
  cloud: { list_lag_s: number };
  /** A controller's state lease, ms. */
  stateLeaseMs: number;
}

export interface RetryPolicies {
  /** Commits, renewals, readings. A state lease must survive two lost tries. */
  state: RetryPolicy;
  cloud: RetryPolicy;
  /** Connections to the other controllers. */
  peers: RetryPolicy;
  /** Orders sent straight to workers: never repeated, the next check-in tells the same. */
  workers: RetryPolicy;
}

const multiplier = 2;
const jitter = 0.3;

/** One policy for every outgoing call; all times are ratios to settings. */
export function retryPolicies(s: RetrySettings): RetryPolicies {
  const lease = s.stateLeaseMs;
  const report = s.workers.report_s * 1000;
  const lag = Math.max(s.cloud.list_lag_s, s.workers.report_s) * 1000;
  return {
    state: { initialDelayMs: lease / 24, maxDelayMs: lease / 4, multiplier, jitter, timeoutMs: lease / 2 },
    cloud: { initialDelayMs: lag / 20, maxDelayMs: lag / 4, multiplier, jitter, timeoutMs: lag },
    peers: { initialDelayMs: report / 10, maxDelayMs: report, multiplier, jitter, timeoutMs: report * 2 },
    workers: { initialDelayMs: report, maxDelayMs: report, multiplier: 1, jitter, timeoutMs: report * 0.8 },
  };
}
