#!/usr/bin/env node
/** The executable. */
import { main } from './cli/main.js';

await main(process.argv);
