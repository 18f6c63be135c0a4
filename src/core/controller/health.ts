/** Whether users should be routed to a controller. */
import type { ControllerComponents } from './components.js';

/**
 * Whether health checks pass. In an outage that all controllers share, this one stays: final states can still be
 * answered, and the controllers that have to read the state first are reachable when it can be read. One that alone is
 * cut off from the state service is unhealthy: its users' polls would fail for as long as their connections last, while
 * the other controllers could answer them. So is one that reaches neither the state service nor any other controller,
 * since it cannot learn whether the others are served.
 */
export function isHealthy(components: ControllerComponents, hasPeers: boolean, now: number): boolean {
  const { dataLossRecovery, freshness, levels, membership, peers, replica, shutdown } = components;
  if (levels.mustStandBy || shutdown.requested || !dataLossRecovery.mayAct) return false;
  const { newestKnown } = peers;
  // If a peer has read the state, users can ask it meanwhile.
  if (replica.watchRevision < 0) return freshness.isStoreUnreachable && newestKnown.revision < 0;
  if (!freshness.isStale) return true;
  const isolated = hasPeers && now - newestKnown.at > membership.leaseTtlMs;
  const peersAreAhead =
    newestKnown.revision > replica.watchRevision && newestKnown.at > freshness.confirmedByStoreAt;
  return !isolated && !peersAreAhead;
}
