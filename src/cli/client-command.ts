/** The common parts of commands that talk to a running service. */
import type { Command } from 'commander';

/** Options of all these commands. */
export interface CommonOptions {
  node: string;
  json?: boolean;
}

/** Adds a command with the common options. */
export type AddCommand = (name: string, description: string, example: string) => Command;
