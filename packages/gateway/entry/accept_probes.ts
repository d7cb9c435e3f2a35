/** Connections of the VM to its own listener, recognized when accepted there. */
import { type AddressInfo, createConnection, type Socket } from "node:net";
import type { AcceptProbe, ProbeObserver } from "./accept_queue.ts";

/** Opens probes and finds them among accepted connections. */
export class AcceptProbes {
  /** Probes by the address that the listener sees. */
  readonly #probes = new Map<string, AcceptProbe>();

  /** Connects to the listener of this process at `address`. */
  start(address: AddressInfo, observer: ProbeObserver): AcceptProbe {
    const socket = createConnection({
      host: address.address,
      port: address.port,
    });
    let name: string | undefined;
    const probe: AcceptProbe = { close: () => void socket.destroy() };
    // Node connects in the tick that it has scheduled; the listener can't
    // accept the connection before.
    process.nextTick(() => {
      name = formatName(socket.localAddress, socket.localPort);
      if (name === undefined) return probe.close();
      this.#probes.set(name, probe);
    });
    socket.on("connect", () => observer.recordEstablished());
    socket.on("error", () => {});
    socket.on("close", () => {
      if (name !== undefined) this.#probes.delete(name);
      observer.recordEnd();
    });
    return probe;
  }

  /** Returns the probe that an accepted connection comes from. */
  find(accepted: Socket): AcceptProbe | undefined {
    // Reading an address is a system call.
    if (this.#probes.size === 0) return undefined;
    const name = formatName(accepted.remoteAddress, accepted.remotePort);
    return name === undefined ? undefined : this.#probes.get(name);
  }
}

function formatName(
  address: string | undefined,
  port: number | undefined,
): string | undefined {
  return address === undefined || !port ? undefined : `${address} ${port}`;
}
