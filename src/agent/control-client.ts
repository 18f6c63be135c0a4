/** The agent's HTTP client: one of several control services at a time, another one after failures and redirects. */
import { JsonClient, type JsonResponse } from '../net/client.js';

/** Responses that take longer count as lost (a limit of the protocol). */
export const responseTimeoutMs = 4000;

/** A control service that the agent may join. */
export interface ControlAddress {
  /** HOST:PORT. */
  readonly address: string;
  /** Its member name, by which other control services redirect to it. */
  readonly name: string;
}

/** Sends requests to the current control service. */
export class ControlClient {
  private readonly clients: JsonClient[];
  private current = 0;

  constructor(private readonly controls: readonly ControlAddress[]) {
    this.clients = controls.map(({ address }) => new JsonClient(address, 2));
  }

  /** Sends a request; null if there was no usable response in time. */
  call(method: string, path: string, body: object | null): Promise<JsonResponse | null> {
    return this.clients[this.current].call(method, path, body, responseTimeoutMs);
  }

  /** Goes on with the next control service. */
  switchToNext(): void {
    this.current = (this.current + 1) % this.clients.length;
  }

  /** Goes on with the named control service; false if it is unknown or the current one. */
  switchTo(name: string): boolean {
    const index = this.controls.findIndex((control) => control.name === name);
    if (index < 0 || index === this.current) return false;
    this.current = index;
    return true;
  }
}
