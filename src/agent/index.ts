/** The agent. */
export { Agent } from './agent.js';
export { parseAgentSettings, type AgentSettings } from './settings.js';
export { Worker, type WorkerEffect } from './worker.js';
