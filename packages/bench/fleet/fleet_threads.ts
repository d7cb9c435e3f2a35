/**
 * Starts a fleet of daemons on worker threads with a shared store and target.
 */
import {
  type ByteCounter,
  startByteCounter,
} from "../data_plane/byte_counter.ts";
import { type EntryOptions, TEAM_KEY } from "../data_plane/entry_server.ts";
import { findFreePort } from "../data_plane/free_port.ts";
import {
  ServerRole,
  type ServerThread,
  startServerThread,
} from "../data_plane/server_thread.ts";

/** A daemon of the fleet. */
export interface FleetVm {
  readonly vm: string;
  readonly thread: ServerThread;
  /** Counts the bytes of connections that peers open to this VM. */
  readonly counter: ByteCounter;
}

/** A running fleet. */
export interface RunningFleet {
  readonly vms: FleetVm[];
  readonly tableUrl: string;
  /** Starts another daemon, which joins the fleet through the first one. */
  addVm(): Promise<FleetVm>;
  stop(): Promise<void>;
}

/** Starts daemons one after another, each with the first as its seed. */
export async function startFleet(
  count: number,
  input: EntryOptions = {},
): Promise<RunningFleet> {
  const target = await startServerThread({ role: ServerRole.Target });
  const table = await startServerThread({ role: ServerRole.Table });
  const vms: FleetVm[] = [];
  const addVm = async () => {
    const vm = await startVm(vms, {
      targetUrl: target.url,
      tableUrl: table.url,
      ...input,
    });
    vms.push(vm);
    return vm;
  };
  for (let index = 0; index < count; index++) await addVm();
  return {
    vms,
    tableUrl: table.url,
    addVm,
    stop: async () => {
      for (const each of vms) await stopVm(each);
      await target.stop();
      await table.stop();
    },
  };
}

/** Terminates a daemon without a drain, as when its VM fails. */
export async function stopVm(vm: FleetVm): Promise<void> {
  await vm.thread.stop();
  await vm.counter.stop();
}

/** Returns the part of a daemon's state dump with the given name. */
export async function readDump(vm: FleetVm, name: string): Promise<unknown> {
  const response = await fetch(`${vm.thread.operatorUrl}/v1/dump`, {
    headers: { authorization: `Bearer ${TEAM_KEY}` },
  });
  const dump = await response.json() as Record<string, unknown>;
  return dump[name];
}

async function startVm(
  existing: readonly FleetVm[],
  input: EntryOptions,
): Promise<FleetVm> {
  // The byte counter must know the port before the daemon listens on it.
  const peerPort = await findFreePort();
  const counter = await startByteCounter(peerPort);
  const vm = `bench-${existing.length}`;
  const seeds = existing.slice(0, 1).map((each) => each.counter.address);
  const fleet = { vm, peerPort, advertise: counter.address, seeds };
  const thread = await startServerThread({
    role: ServerRole.Entry,
    ...input,
    fleet,
  });
  return { vm, thread, counter };
}
