// A proxy between one gateway and the store, which can be cut without a word.
import { connect, createServer } from "node:net";

export class StoreLink {
  isCut = false;
  #pairs = new Set();

  async start(storeAddress) {
    const [host, port] = storeAddress.split(":");
    this.server = createServer((near) => {
      const far = connect({ host, port: Number(port) });
      const pair = { near, far };
      this.#pairs.add(pair);
      near.on("error", () => {});
      far.on("error", () => {});
      // Bytes of the time of a cut are lost.
      near.on("data", (bytes) => this.isCut || far.write(bytes));
      far.on("data", (bytes) => this.isCut || near.write(bytes));
      near.on("close", () => {
        far.destroy();
        this.#pairs.delete(pair);
      });
      far.on("close", () => this.isCut || near.destroy());
    });
    await new Promise((done) => this.server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  /** Ends a cut; connections from before or during it are reset. */
  heal() {
    this.isCut = false;
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.destroy();
    }
  }

  stop() {
    this.heal();
    this.server.close();
  }
}
