/** A TCP proxy that counts the bytes of every connection through it. */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A running byte-counting proxy. */
export interface ByteCounter {
  /** `host:port` of the proxy, to be used instead of the server's address. */
  readonly address: string;
  /** Returns the bytes in both directions since the start. */
  readBytes(): number;
  stop(): Promise<void>;
}

/** Starts a proxy for a port of the loopback interface. */
export async function startByteCounter(port: number): Promise<ByteCounter> {
  const sockets = new Set<Socket>();
  let bytes = 0;
  const server = createServer((client) => {
    const upstream = connect(port, "127.0.0.1");
    for (
      const [from, to] of [[client, upstream], [upstream, client]] as const
    ) {
      sockets.add(from);
      from.on("data", (chunk) => (bytes += chunk.length));
      from.on("error", () => to.destroy());
      from.on("close", () => void sockets.delete(from));
      from.pipe(to);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const listeningPort = (server.address() as AddressInfo).port;
  return {
    address: `127.0.0.1:${listeningPort}`,
    readBytes: () => bytes,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
