/**
 * A loopback relay between a VM and something outside: it passes bytes on, late,
 * one way or not at all, and resets connections.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Millis } from "../core/mod.ts";

/** What becomes of bytes. */
export enum RelayMode {
  Pass = "pass",
  /** Nothing passes in either direction; new connections get no answer. */
  Cut = "cut",
  /** Bytes towards the VM don't arrive. */
  CutAnswers = "cut-answers",
}

/** Relays one address. */
export class Relay {
  mode = RelayMode.Pass;
  /** How late bytes arrive. */
  delay: Millis = 0;
  readonly #server: Server;
  readonly #remoteAddress: { readonly host: string; readonly port: number };
  readonly #sockets = new Set<Socket>();

  private constructor(
    remoteAddress: { readonly host: string; readonly port: number },
  ) {
    this.#remoteAddress = remoteAddress;
    this.#server = createServer((vmSocket) => this.#connect(vmSocket));
  }

  /** Starts a relay to `host:port` on a port that the kernel chooses. */
  static async start(address: string): Promise<Relay> {
    const [host = "", port = ""] = address.split(":");
    const relay = new Relay({ host, port: Number(port) });
    await new Promise<void>((done) =>
      relay.#server.listen(0, "127.0.0.1", done)
    );
    return relay;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Resets every open connection. */
  resetAll(): void {
    for (const socket of this.#sockets) {
      // Node can't reset a connection that it is shutting down, and never ends
      // its handle, so that the process hangs at its exit.
      if (socket.writableEnded || socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #connect(vmSocket: Socket): void {
    const remoteSocket = connect(this.#remoteAddress);
    for (const socket of [vmSocket, remoteSocket]) {
      this.#sockets.add(socket);
      // A connection that breaks off on one side breaks off on the other.
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        vmSocket.destroy();
        remoteSocket.destroy();
      });
    }
    this.#forward(vmSocket, remoteSocket, () => this.mode === RelayMode.Cut);
    this.#forward(remoteSocket, vmSocket, () => this.mode !== RelayMode.Pass);
  }

  #forward(from: Socket, to: Socket, isCut: () => boolean): void {
    from.on("data", (bytes) => {
      // What is lost on the way is never made up for: the connection is dead.
      if (isCut()) return void from.pause();
      if (this.delay === 0) return void to.write(bytes);
      setTimeout(() => to.writable && to.write(bytes), this.delay);
    });
    from.on("end", () => to.end());
  }
}
