/** Ports for tests and demonstrations. */
import { createServer } from 'node:net';

/** A port on loopback that nobody listens on just now. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}
