/** Tests of the processes of a soak's VMs. */
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import {
  createTrialConfiguration,
  StoreServer,
} from "../../platform/stand_ins/mod.ts";
import { VmProcess } from "./vm_process.ts";

const MAX_START_MILLIS = 20_000;

/** Makes sure that a process other than the VM's listens on a port. */
async function takePort(port: number): Promise<Server> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve();
      else reject(error);
    });
    server.listen(port, "127.0.0.1", resolve);
  });
  return server;
}

test("a VM becomes ready although another process has taken a port that was free for it", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "anvilrail-vm-"));
  const store = await StoreServer.start();
  store.put(
    "op",
    "config",
    createTrialConfiguration({ version: 1, customers: [] }),
  );
  const vm = new VmProcess({ name: "v1", storeAddress: store.address, folder });
  const servers: Server[] = [];
  t.teardown(async () => {
    await vm.close();
    store.stop();
    for (const server of servers) server.close();
    rmSync(folder, { recursive: true });
  });
  servers.push(await takePort(vm.callerPort ?? 0));
  vm.start();
  t.true(await vm.waitReady(MAX_START_MILLIS));
  const port = vm.callerPort;
  vm.signal("SIGKILL");
  await vm.waitExit();
  servers.push(await takePort(port!));
  vm.start();
  t.true(await vm.waitReady(MAX_START_MILLIS));
});
