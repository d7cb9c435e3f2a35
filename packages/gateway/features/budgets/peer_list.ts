/**
 * The VMs that lend each other tokens. Each tells its address and a key of its
 * present life in a row, and follows the rows of the others. What is known stays
 * in use while the table is away, which is when loans are needed most.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import {
  combineUndo,
  type CommandType,
  createCommand,
  type JsonValue,
  type Millis,
  type RowOperation,
  type SliceType,
  type Undo,
  type VmId,
} from "../../../core/mod.ts";
import type { PeerWithRegion } from "../../../lending/mod.ts";
import { StoreWriter } from "../../../ports/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { FeedFollower, type RowChange } from "../follow_feed.ts";

const PEER_SCHEMA = z.object({
  /** `host:port` of the peer's face. */
  address: z.string(),
  region: z.string().optional(),
  /** Proves to the peer that its row was read; new with each life. */
  key: z.string().min(16),
});

type PeerEntry = z.infer<typeof PEER_SCHEMA>;

/** What is known of the others; the list is made once for each change. */
interface Peers {
  readonly entries: ReadonlyMap<VmId, PeerEntry>;
  readonly list: readonly PeerWithRegion[];
}

const PEERS: SliceType<Peers> = {
  name: "peers",
  createInitial: () => ({ entries: new Map(), list: [] }),
};

const CHANGE_PEERS: CommandType<readonly RowChange<PeerEntry>[], void> =
  createCommand("gateway.change_peers");

/** Longest wait of one call; a peer with a new key is known after it at the latest. */
const FEED_WAIT: Millis = 3_000;

/** Rows that change together, as when all VMs start, are taken together. */
const FEED_PACE: Millis = 300;

/** Longest pause between two tries to tell the own address. */
const LONGEST_BACKOFF: Millis = 1_000;

const KEY_BYTES = 24;

/** Keeps the list and this VM's row in it. */
export class PeerList {
  readonly #context: GatewayContext;
  readonly #follower: FeedFollower<JsonValue>;
  readonly #writer: StoreWriter;
  /** What a peer must send to this life. */
  readonly key = randomBytes(KEY_BYTES).toString("hex");

  constructor(context: GatewayContext) {
    this.#context = context;
    const { dialect, clock, random } = context;
    this.#follower = new FeedFollower(context, {
      name: "peers",
      feed: dialect.peers,
      wait: FEED_WAIT,
      pace: FEED_PACE,
      apply: (changes) => this.#apply(changes),
    });
    this.#writer = new StoreWriter({
      table: dialect.table,
      clock,
      random,
      groupDelay: 0,
      maxBackoff: LONGEST_BACKOFF,
    });
  }

  /** Registers the command, the dump and the follower. */
  register(): Undo {
    const { kernel, vm } = this.#context;
    return combineUndo([
      kernel.registerCommand(CHANGE_PEERS, (changes, update) => {
        const entries = new Map(update.read(PEERS).entries);
        for (const { key, value } of changes) {
          if (value === undefined || key === vm) entries.delete(key);
          else entries.set(key, value);
        }
        update.write(PEERS, { entries, list: createList(entries) });
      }),
      kernel.registerDump("peers", () => this.listPeers()),
      this.#follower.register(),
      () => this.#writer.close(),
    ]);
  }

  /** Tells the others where this life is; tried until the table answers. */
  async announce(address: string): Promise<void> {
    const { vm, region, log } = this.#context;
    const entry: PeerEntry = {
      address,
      key: this.key,
      ...(region === undefined ? {} : { region }),
    };
    const answer = await this.#writer.run(createPeerWrite(vm, entry), {
      giveUpAt: Infinity,
    });
    answer.ifLeft((error) =>
      log.error(LogEvent.StoreFailed, {
        dependency: "peers",
        reason: error.message,
      })
    );
  }

  /** Returns the other VMs; the same list until it changes. */
  listPeers(): readonly PeerWithRegion[] {
    return this.#read().list;
  }

  /** Returns the key that the peer at an address asks for. */
  findKey(address: string): string {
    const peer = [...this.#read().entries.values()]
      .find((each) => each.address === address);
    return peer?.key ?? "";
  }

  #read(): Peers {
    return this.#context.kernel.read(PEERS);
  }

  #apply(changes: readonly RowChange<JsonValue>[]): void {
    const parsed = changes.map(({ key, value }) => {
      if (value === undefined) return { key };
      const entry = PEER_SCHEMA.safeParse(value);
      if (entry.success) return { key, value: entry.data };
      this.#context.log.warn(LogEvent.RowDamaged, {
        table: "peers",
        key,
        reason: z.prettifyError(entry.error),
      });
      return { key };
    });
    this.#context.kernel.dispatch(CHANGE_PEERS, parsed);
  }
}

function createList(entries: ReadonlyMap<VmId, PeerEntry>): PeerWithRegion[] {
  return [...entries].map(([vm, { address, region }]) => ({
    vm,
    address,
    ...(region === undefined ? {} : { region }),
  }));
}

function createPeerWrite(vm: VmId, entry: PeerEntry): RowOperation<void> {
  const key = `peers/${vm}`;
  const value: JsonValue = { ...entry };
  return {
    id: `announce/${vm}/${entry.key}`,
    keys: [key],
    decide: () => ({ writes: [{ key, value }], result: undefined }),
  };
}
