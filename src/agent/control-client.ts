/** The agent's HTTP client. It uses one control service at a time, and switches to another after failures and redirects. */
import { JsonClient, type JsonResponse } from '../net/client.js';

/** Responses that take longer count as lost. The protocol defines this limit. */
export const responseTimeoutMs = 4000;

/** A control service that the agent may join. */
export interface ControlAddress {
  /** HOST:PORT. */
  readonly address: string;
  /** The member name, which other control services use in redirects to it. */
  readonly name: string;
}

/** Sends requests to the current control service. */
export class ControlClient {
  private readonly clients: JsonClient[];
  private currentIndex = 0;

  constructor(private readonly controls: readonly ControlAddress[]) {
    this.clients = controls.map(({ address }) => new JsonClient(address, 2));
  }

  /** Sends a request; returns null if there is no usable response in time. */
  call(method: string, path: string, body: object | null): Promise<JsonResponse | null> {
    return this.clients[this.currentIndex].call(method, path, body, responseTimeoutMs);
  }

  /** Switches to the next control service. */
  switchToNext(): void {
    this.currentIndex = (this.currentIndex + 1) % this.clients.length;
  }

  /** Switches to the named control service; returns false if it is unknown or already the current one. */
  switchTo(name: string): boolean {
    const index = this.controls.findIndex((control) => control.name === name);
    if (index < 0 || index === this.currentIndex) return false;
    this.currentIndex = index;
    return true;
  }
}
