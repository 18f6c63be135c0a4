/** The HTTP server for users and workers: malformed bodies, long lines, connections. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { Command } from '../src/core/effects.js';
import { PublicServer } from '../src/users/server.js';

async function withServer(
  use: (port: number, got: Command[], front: PublicServer) => Promise<void>,
): Promise<void> {
  const got: Command[] = [];
  const front = new PublicServer(
    (c) => {
      got.push(c);
      if ('requestId' in c) front.respond(c.requestId, 503, {}, 7);
    },
    () => got.length === 0,
    { max: 50, closeIdleAbove: 40 },
    100,
  );
  front.server.listen(0, '127.0.0.1');
  await once(front.server, 'listening');
  try {
    await use((front.server.address() as AddressInfo).port, got, front);
  } finally {
    front.server.closeAllConnections();
    front.server.close();
  }
}

async function call(port: number, method: string, path: string, body?: string): Promise<IncomingMessage> {
  const req = request({ host: '127.0.0.1', port, method, path, agent: false });
  req.on('error', () => undefined);
  req.end(body);
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  res.resume();
  return res;
}

test('HTTP: wrong paths and methods, malformed and oversized bodies', () =>
  withServer(async (port, got) => {
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 200);
    assert.equal((await call(port, 'GET', '/nowhere')).statusCode, 404);
    const wrong = await call(port, 'GET', '/work');
    assert.equal(wrong.statusCode, 405);
    assert.equal(wrong.headers.allow, 'POST');
    for (const body of ['', '{', '[]', 'null', '{"nameId":3}', 'x'.repeat(70_000)])
      assert.equal((await call(port, 'POST', '/work', body)).statusCode, 400);
    assert.equal((await call(port, 'POST', '/checkin', '{"host":"x"}')).statusCode, 400);
    assert.deepEqual(got, []);
    const busy = await call(port, 'GET', '/work/req-1');
    assert.equal(busy.statusCode, 503);
    assert.equal(busy.headers['retry-after'], '7');
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 503);
  }));

test('HTTP: garbage on the socket is refused and harms nobody else', () =>
  withServer(async (port) => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(Buffer.from([0, 1, 2, 255, 13, 10, 13, 10]));
    await once(socket, 'close');
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 200);
  }));
