/** Ports that must be known before their server listens. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Returns a port of the loopback interface that was free just now. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
