/** Logging of the phases of a recovery after a start: state read, present, machines confirmed, first placement. */
import type { ControllerComponents } from './components.js';
import type { Log } from '../effects.js';

/** Maximum number of machines listed in a log line. */
const maxLoggedMachines = 8;

/** Updates the recovery tracker and logs phase changes, overdue machines and the summary for operators. */
export function reportRecovery(components: ControllerComponents, now: number, log: Log): void {
  const { membership, recovery, replica, shardManager } = components;
  const { unconfirmedMachines } = shardManager;
  const times = recovery.update(now, {
    isStateLoaded: replica.watchRevision >= 0,
    isPresent: membership.isPresent,
    ownedShards: shardManager.ownedShards.size,
    unprovenMachines: unconfirmedMachines.length,
    placementCount: shardManager.shardState.placementCount,
  });
  if (times) log('info', 'recovery', { ...times, keys: replica.keyCount });
  if (recovery.takeOverdue(now))
    log('warn', 'machines still to be proven', {
      machines: unconfirmedMachines.length,
      some: unconfirmedMachines.slice(0, maxLoggedMachines).map((machine) => ({
        host: machine.host,
        heardMs: machine.lastHeartbeatAt && now - machine.lastHeartbeatAt,
      })),
    });
  const summary = recovery.takeSummary(now);
  if (summary)
    log(summary.late ? 'warn' : 'info', summary.late ? 'recovered late' : 'recovered', { ...summary });
}
