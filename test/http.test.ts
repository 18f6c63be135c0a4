/** The HTTP server for users and workers: wrong paths and methods, malformed bodies, garbage on a connection. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { Command } from '../src/core/effects.js';
import { PublicServer } from '../src/users/server.js';

async function withServer(
  run: (port: number, commands: Command[], publicServer: PublicServer) => Promise<void>,
): Promise<void> {
  const commands: Command[] = [];
  const publicServer = new PublicServer(
    (command) => {
      commands.push(command);
      if ('requestId' in command) publicServer.respond(command.requestId, 503, {}, 7);
    },
    () => commands.length === 0,
    { max: 50, closeIdleAbove: 40 },
    100,
  );
  publicServer.server.listen(0, '127.0.0.1');
  await once(publicServer.server, 'listening');
  try {
    await run((publicServer.server.address() as AddressInfo).port, commands, publicServer);
  } finally {
    publicServer.server.closeAllConnections();
    publicServer.server.close();
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
  withServer(async (port, commands) => {
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 200);
    assert.equal((await call(port, 'GET', '/nowhere')).statusCode, 404);
    const methodNotAllowed = await call(port, 'GET', '/work');
    assert.equal(methodNotAllowed.statusCode, 405);
    assert.equal(methodNotAllowed.headers.allow, 'POST');
    for (const body of ['', '{', '[]', 'null', '{"nameId":3}', 'x'.repeat(70_000)])
      assert.equal((await call(port, 'POST', '/work', body)).statusCode, 400);
    assert.equal((await call(port, 'POST', '/checkin', '{"host":"x"}')).statusCode, 400);
    assert.deepEqual(commands, []);
    const unavailable = await call(port, 'GET', '/work/req-1');
    assert.equal(unavailable.statusCode, 503);
    assert.equal(unavailable.headers['retry-after'], '7');
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 503);
  }));

test('HTTP: garbage on a connection closes it and affects no other connection', () =>
  withServer(async (port) => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(Buffer.from([0, 1, 2, 255, 13, 10, 13, 10]));
    await once(socket, 'close');
    assert.equal((await call(port, 'GET', '/healthz')).statusCode, 200);
  }));
