/** What identifies the machine of an agent: the ID of its boot and the name of its architecture. */
import { readFileSync } from 'node:fs';

const bootIdPath = '/proc/sys/kernel/random/boot_id';
const architectureNames: Record<string, string> = { x64: 'X86_64', arm64: 'AARCH64' };

/** Returns the name of a processor architecture in match expressions. */
export const architectureName = (arch: string): string => architectureNames[arch] ?? arch.toUpperCase();

/** Returns the ID of the machine's current boot. Process IDs and uptimes of another boot are meaningless in this one. */
export function readBootId(): string {
  try {
    return readFileSync(bootIdPath, 'latin1').trim();
  } catch {
    return 'unknown';
  }
}
