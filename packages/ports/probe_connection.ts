/** Probes whether a process listens at an address, over a TCP connection. */
import { createConnection, type NetConnectOpts, type Socket } from "node:net";
import type { Millis } from "../core/mod.ts";

/** What became of a connection to an address. */
export enum ConnectionProbe {
  Accepted = "accepted",
  /** The machine answered that no process listens there. */
  Refused = "refused",
  /** No answer arrived in time, or the network failed. */
  NoAnswer = "no-answer",
}

/** Opens a connection and closes it at once, without sending anything. */
export function checkConnection(
  input: {
    readonly host: string;
    readonly port: number;
    readonly timeout: Millis;
    /** Connects over TCP by default. */
    readonly connect?: (options: NetConnectOpts) => Socket;
  },
): Promise<ConnectionProbe> {
  const { host, port, timeout, connect = createConnection } = input;
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: ConnectionProbe) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish(ConnectionProbe.NoAnswer), timeout);
    socket.on("connect", () => finish(ConnectionProbe.Accepted));
    socket.on("error", (error) =>
      finish(
        isRefusedConnection(error)
          ? ConnectionProbe.Refused
          : ConnectionProbe.NoAnswer,
      ));
  });
}

/** Whether an error says that no process listens at the address. */
export function isRefusedConnection(error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
}
