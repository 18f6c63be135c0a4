/** What the commands that talk to a running service have in common. */
import type { Command } from 'commander';

/** The options that all of these commands have. */
export interface CommonOptions {
  node: string;
  json?: boolean;
}

/** Adds a command with the common options. */
export type AddCommand = (name: string, description: string, example: string) => Command;
