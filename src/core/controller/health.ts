/** Health check of a controller: whether user requests should be routed to it. */
import type { ControllerComponents } from './components.js';

/**
 * Whether health checks pass. During an outage of the state service that affects all controllers, they stay healthy: they
 * can still answer queries for jobs in a final state, and controllers that have yet to read the state stay reachable for when
 * the service returns. A controller that alone has lost the state service is unhealthy: polls on its connections would keep
 * failing, while other controllers could answer them. A controller that reaches neither the state service nor any peer is
 * unhealthy too, since it cannot tell whether the peers still reach the service.
 */
export function isHealthy(components: ControllerComponents, hasPeers: boolean, now: number): boolean {
  const { dataLossRecovery, freshness, levels, membership, peers, replica, shutdown } = components;
  if (levels.mustStandBy || shutdown.requested || !dataLossRecovery.mayAct) return false;
  const { newestReported } = peers;
  // The state has not been read yet. If a peer has read it, users are routed there in the meantime.
  if (replica.watchRevision < 0) return freshness.isStateServiceUnreachable && newestReported.revision < 0;
  if (!freshness.isStale) return true;
  const isolated = hasPeers && now - newestReported.at > membership.leaseTtlMs;
  const peersAreAhead =
    newestReported.revision > replica.watchRevision && newestReported.at > freshness.confirmedByServiceAt;
  return !isolated && !peersAreAhead;
}
