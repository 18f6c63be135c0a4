/** Default fixtures of most tests: a platform settings file, a machine type and a job specification, with small round numbers. */
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType } from '../../src/model/machine.js';

/** The platform settings of the given member of a cluster with `nodes` controllers, as TOML. */
export const settingsText = (member: string, nodes: number): string => `
member = "${member}"
location = "north"
public_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
${Array.from({ length: nodes }, (_, i) => `n${i}`)
  .filter((n) => n !== member)
  .map((n) => `[[others]]\nmember = "${n}"\nlocation = "south"\npeer_addr = "127.0.0.1:9001"`)
  .join('\n')}
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
zones = ["north", "south"]
[[deployment.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[[deployment.teams]]
name = "blue"
[[deployment.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.9
[deployment.workers]
report_s = 2.0
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 36.0
[deployment.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 8.0
list_lag_s = 5.0
`;

/** The default machine type. */
export const box: MachineType = {
  name: 'box',
  cpus: 8,
  gpus: 0,
  memGb: 32,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.3,
  bootS: 10,
  zones: ['north', 'south'],
};

/** A small job specification; `overrides` replaces single fields. */
export const spec = (id: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
  id,
  class: 'c',
  team: 'red',
  shape: 'array',
  urgency: 'normal',
  tasks: 2,
  cpus: 1,
  gpus: 0,
  memGb: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  apart: false,
  spot: false,
  estimateS: 20,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...overrides,
});
