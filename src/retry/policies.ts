/** Retry policies of all outgoing calls, derived from the platform's settings. */
import type { RetryPolicy } from './backoff.js';

/** The settings that the policies are derived from. */
export interface RetrySettings {
  readonly workers: { readonly report_s: number; readonly lease_s: number };
  readonly cloud: { readonly list_lag_s: number };
  /** Duration of a controller's state lease, ms. */
  readonly stateLeaseMs: number;
}

/** How each kind of call is retried. */
export interface RetryPolicies {
  /** Commits, lease renewals and reads of the state service. A state lease must survive two failed attempts. */
  readonly state: RetryPolicy;
  /** Calls to the cloud provider. */
  readonly cloud: RetryPolicy;
  /** Connections to the other controllers. */
  readonly peers: RetryPolicy;
  /** Orders sent directly to workers. They are never repeated: the next heartbeat's response contains them, too. */
  readonly workers: RetryPolicy;
}

const multiplier = 2;
const jitter = 0.3;

/** Derives one policy for each kind of outgoing call. All times are proportional to settings. */
export function retryPolicies({ workers, cloud, stateLeaseMs }: RetrySettings): RetryPolicies {
  const heartbeatMs = workers.report_s * 1000;
  const listLagMs = Math.max(cloud.list_lag_s, workers.report_s) * 1000;
  return {
    state: {
      initialDelayMs: stateLeaseMs / 24,
      maxDelayMs: stateLeaseMs / 4,
      multiplier,
      jitter,
      timeoutMs: stateLeaseMs / 2,
    },
    cloud: {
      initialDelayMs: listLagMs / 20,
      maxDelayMs: listLagMs / 4,
      multiplier,
      jitter,
      timeoutMs: listLagMs,
    },
    peers: {
      initialDelayMs: heartbeatMs / 10,
      maxDelayMs: heartbeatMs,
      multiplier,
      jitter,
      timeoutMs: heartbeatMs * 2,
    },
    workers: {
      initialDelayMs: heartbeatMs,
      maxDelayMs: heartbeatMs,
      multiplier: 1,
      jitter,
      timeoutMs: heartbeatMs * 0.8,
    },
  };
}
