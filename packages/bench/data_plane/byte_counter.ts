/** A relay that counts the bytes of every connection through it. */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A running relay. */
export interface ByteCounter {
  /** `host:port` to connect to instead of the real address. */
  readonly address: string;
  /** Bytes in both directions since the start. */
  readBytes(): number;
  stop(): Promise<void>;
}

/** Starts a relay before an address on the loopback interface. */
export async function startByteCounter(port: number): Promise<ByteCounter> {
  const sockets = new Set<Socket>();
  let bytes = 0;
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    for (const [from, to] of [[near, far], [far, near]] as const) {
      sockets.add(from);
      from.on("data", (part) => (bytes += part.length));
      from.on("error", () => to.destroy());
      from.on("close", () => void sockets.delete(from));
      from.pipe(to);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const bound = (server.address() as AddressInfo).port;
  return {
    address: `127.0.0.1:${bound}`,
    readBytes: () => bytes,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
