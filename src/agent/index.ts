/** The public interface of the agent: the agent itself, its settings, and the worker state machine. */
export { Agent } from './agent.js';
export { parseAgentSettings, type AgentSettings } from './settings.js';
export { Worker, type WorkerEffect } from './worker.js';
