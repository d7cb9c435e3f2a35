/** Finds ports for servers whose port must be known before they listen. */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Returns a port that is free on the loopback interface. It is not reserved;
 * another process could take it before the server listens.
 */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
