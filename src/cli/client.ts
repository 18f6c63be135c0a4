import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { HttpClient } from '../net/client.js';
import { jobPath, withdrawEnd } from '../wire/user.js';

const timeoutMs = 5000;

/** The commands of a user: submit, status, withdraw. */
export function addClientCommands(program: Command, fail: (message: string) => never): void {
  const ask = async (node: string, method: string, path: string, body: object | null): Promise<void> => {
    if (!/^[^:]+:\d+$/.test(node)) fail(`--node: expected HOST:PORT, got ${node}`);
    const r = await new HttpClient(node, 1).call(method, path, body, timeoutMs);
    if (r === null) fail(`no answer from ${node}`);
    process.stdout.write(`${JSON.stringify(r.body)}\n`);
    process.exit(r.status < 300 ? 0 : 2);
  };
  program
    .command('submit')
    .description('submit a job')
    .argument('<file>', 'the job as JSON; - for standard input')
    .requiredOption('--node <address>', 'a controller, HOST:PORT')
    .action(async (file: string, o: { node: string }) => {
      let job: object;
      try {
        job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8')) as object;
      } catch (e) {
        fail(`${file}: ${String((e as Error).message)}`);
      }
      await ask(o.node, 'POST', jobPath, job);
    });
  program
    .command('status')
    .description('show a job')
    .argument('<id>')
    .requiredOption('--node <address>', 'a controller, HOST:PORT')
    .action((id: string, o: { node: string }) => ask(o.node, 'GET', `${jobPath}/${id}`, null));
  program
    .command('withdraw')
    .description('cancel a job')
    .argument('<id>')
    .requiredOption('--node <address>', 'a controller, HOST:PORT')
    .action((id: string, o: { node: string }) => ask(o.node, 'POST', `${jobPath}/${id}/${withdrawEnd}`, {}));
}
