#!/usr/bin/env node
/** The entry point of the executable. */
import { main } from './cli/main.js';

await main(process.argv);
