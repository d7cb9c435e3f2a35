/**
 * A TCP relay on the loopback interface between a VM and an outside server. It
 * injects network faults: delays, one-way and two-way loss, and resets.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Millis } from "../core/mod.ts";

/** What the relay does with the bytes that it receives. */
export enum RelayMode {
  /** Forwards them in both directions. */
  Pass = "pass",
  /** Drops them in both directions; new connections get no answer. */
  Cut = "cut",
  /** Drops bytes towards the VM and forwards those from it. */
  CutAnswers = "cut-answers",
}

/** Accepts connections and relays each of them to one address. */
export class Relay {
  mode = RelayMode.Pass;
  /** Time by which forwarded bytes are delayed. */
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
      // Node can't reset a connection that it is shutting down: the handle is
      // never closed, and the process hangs at exit.
      if (socket.writableEnded || socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  /** Closes the server and every connection. */
  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #connect(vmSocket: Socket): void {
    const remoteSocket = connect(this.#remoteAddress);
    for (const socket of [vmSocket, remoteSocket]) {
      this.#sockets.add(socket);
      // When one side closes or fails, the other side is closed too.
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
      // The relay never reads from this socket again: the dropped bytes are
      // missing from the stream, so the connection stays unusable.
      if (isCut()) return void from.pause();
      if (this.delay === 0) return void to.write(bytes);
      setTimeout(() => to.writable && to.write(bytes), this.delay);
    });
    from.on("end", () => to.end());
  }
}
