/** Finds ports for tests and the demo. */
import { createServer } from 'node:net';

/** A port of the loopback address on which nothing listens at the moment. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}
