/**
 * Discovery of the VMs that lend each other tokens. Each VM writes its address
 * and the key of its present incarnation to a row, and follows the rows of the
 * others. Known peers remain listed while the store is unavailable, which is
 * when loans are needed most.
 */
import { randomBytes } from "node:crypto";
import { z } from "zod";
import {
  combineUndo,
  type CommandType,
  createCommand,
  isReachableAddress,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  readEra,
  type RegionId,
  type RowOperation,
  type SliceType,
  type Undo,
  type VmId,
} from "../../../core/mod.ts";
import type { PeerWithRegion } from "../../../lending/mod.ts";
import {
  type TurnGroup,
  TurnGroups,
  type VmOrder,
} from "../../../routing/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";
import { LogEvent } from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createRowWriter } from "../create_row_writer.ts";
import { FeedFollower, type RowChange } from "../feed_follower.ts";
import {
  applyPeerChanges,
  computeNextAbsence,
  type KnownPeers,
  listNewlyLeaving,
  listPresentPeers,
  type PeerChange,
  type PeerEntry,
} from "./peer_entries.ts";
import { isPeerListSettled } from "./peer_settling.ts";

const PEER_SCHEMA = z.object({
  /** `host:port` of the peer's server for loan requests. */
  address: z.string().refine(isReachableAddress),
  region: z.string().optional(),
  /**
   * Requests to the peer carry this key, which proves that their sender has
   * read the peer's row. It is new for each incarnation.
   */
  key: z.string().min(16),
  leaving: z.boolean().optional(),
});

/** The other VMs. The list is derived from them once per change. */
interface PeerState {
  readonly known: KnownPeers;
  readonly list: readonly PeerWithRegion[];
}

const PEERS: SliceType<PeerState> = {
  name: "peers",
  createInitial: () => ({ known: new Map(), list: [] }),
};

const CHANGE_PEERS: CommandType<
  { readonly changes: readonly PeerChange[]; readonly now: MonotonicTime },
  void
> = createCommand("gateway.change_peers");

/**
 * Maximum time that one call waits for changes. It bounds how late the new key
 * of a peer becomes known.
 */
const FEED_WAIT: Millis = 3_000;

/**
 * Pause between two calls for changes. It batches rows that change at about the
 * same time, as when all VMs start.
 */
const FEED_PAUSE: Millis = 300;

/** Maximum pause between two attempts to write this VM's row. */
const MAX_BACKOFF: Millis = 1_000;

const KEY_BYTES = 24;

/** Keeps the list of peers and writes this VM's own row. */
export class PeerList {
  readonly #context: GatewayContext;
  readonly #follower: FeedFollower<JsonValue>;
  readonly #writer: StoreWriter;
  readonly #startedAt: MonotonicTime;
  /** When rows last changed before the list was settled. */
  #changedAt: MonotonicTime | undefined;
  /** What this VM's row says; undefined before it is written. */
  #address: string | undefined;
  #announcedRegion: RegionId | undefined;
  /** Whether a planned stop of this VM has begun. */
  #isLeaving = false;
  #absenceTimer: NodeJS.Timeout | undefined;
  readonly #leavingListeners: ((vm: VmId) => void)[] = [];
  /** Era of the store when rows last changed; undefined before the first. */
  #era: number | undefined;
  /** When this VM first found its own row in the list. */
  #listedSince: MonotonicTime | undefined;
  readonly #turnGroups: TurnGroups;
  /** Key that peers must send with requests to this incarnation. */
  readonly key = randomBytes(KEY_BYTES).toString("hex");

  constructor(context: GatewayContext) {
    this.#context = context;
    const { dialect, clock } = context;
    this.#startedAt = clock.readMonotonic();
    this.#turnGroups = new TurnGroups(context.vm);
    this.#follower = new FeedFollower(context, {
      name: "peers",
      feed: dialect.peers,
      wait: FEED_WAIT,
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
    this.#writer = createRowWriter(context, MAX_BACKOFF);
  }

  /** Registers the command and the dump, and starts to follow the rows. */
  register(): Undo {
    const { kernel, vm } = this.#context;
    return combineUndo([
      kernel.registerCommand(CHANGE_PEERS, ({ changes, now }, update) => {
        const before = update.read(PEERS).known;
        const known = applyPeerChanges(before, changes, { self: vm, now });
        update.write(PEERS, { known, list: listPresentPeers(known, now) });
      }),
      kernel.registerDump("peers", () => this.listPeers()),
      this.#follower.register(),
      () => this.#writer.close(),
      () => clearTimeout(this.#absenceTimer),
    ]);
  }

  /** Adds a function that is called when another VM's planned stop is known. */
  addLeavingListener(listener: (vm: VmId) => void): void {
    this.#leavingListeners.push(listener);
  }

  /** Whether another VM stops as planned, as far as known. */
  isLeaving(vm: VmId): boolean {
    return this.#read().known.get(vm)?.leavingSince !== undefined;
  }

  /** Tells the other VMs that this one stops as planned. */
  async announceLeaving(): Promise<void> {
    this.#isLeaving = true;
    if (this.#address !== undefined) await this.announce(this.#address);
  }

  /** Writes this VM's row; retried until the store answers. */
  async announce(address: string): Promise<void> {
    this.#address = address;
    const { vm, region, log } = this.#context;
    this.#announcedRegion = region;
    const entry: PeerEntry = {
      address,
      key: this.key,
      ...(region === undefined ? {} : { region }),
      ...(this.#isLeaving ? { leaving: true } : {}),
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

  /** Writes this VM's row again if its region has changed. */
  announceAgain(): void {
    if (this.#address === undefined) return;
    if (this.#announcedRegion === this.#context.region) return;
    void this.announce(this.#address);
  }

  /** Whether the list was loaded, or could not be for long. */
  get isLoaded(): boolean {
    return this.#follower.isLoaded || this.isSettled;
  }

  /** Whether the list was complete, as far as known, at some time. */
  get isSettled(): boolean {
    return isPeerListSettled({
      now: this.#context.clock.readMonotonic(),
      startedAt: this.#startedAt,
      changedAt: this.#changedAt,
    });
  }

  /** Returns the other VMs; the same array object until they change. */
  listPeers(): readonly PeerWithRegion[] {
    return this.#read().list;
  }

  /**
   * Returns the place of this VM among all that it knows, which know the same
   * order; undefined until the list is settled.
   */
  findOrder(): VmOrder | undefined {
    if (!this.isSettled) return undefined;
    const { vm } = this.#context;
    const peers = this.listPeers();
    const index = peers.filter((peer) => peer.vm < vm).length;
    return { index, count: peers.length + 1 };
  }

  /**
   * Returns the VMs that divide the turns at cold targets; undefined until the
   * others know this VM. One that lends no tokens is in no list.
   */
  findTurnGroup(): TurnGroup | undefined {
    if (!this.isSettled) return undefined;
    return this.#turnGroups.read({
      peers: this.listPeers(),
      listedSince: this.#address === undefined
        ? this.#startedAt
        : this.#listedSince,
      now: this.#context.clock.readMonotonic(),
    });
  }

  /** Returns the key of the peer at an address; empty for an unknown one. */
  findKey(address: string): string {
    const peer = [...this.#read().known.values()]
      .find((each) => each.address === address);
    return peer?.key ?? "";
  }

  #read(): PeerState {
    return this.#context.kernel.read(PEERS);
  }

  #apply(changes: readonly RowChange<JsonValue>[]): void {
    if (!this.isSettled) {
      this.#changedAt = this.#context.clock.readMonotonic();
    }
    this.#checkOwnRow(changes);
    this.#recordOwnRow(changes);
    const parsed = changes.map(({ key, version, value }) => {
      if (value === undefined) return { key, version };
      const entry = PEER_SCHEMA.safeParse(value);
      if (entry.success) return { key, version, value: entry.data };
      this.#context.log.warn(LogEvent.RowDamaged, {
        table: "peers",
        key,
        reason: z.prettifyError(entry.error),
      });
      return { key, version };
    });
    this.#change(parsed);
  }

  #change(changes: readonly PeerChange[]): void {
    const { kernel, clock } = this.#context;
    const now = clock.readMonotonic();
    const before = this.#read().known;
    kernel.dispatch(CHANGE_PEERS, { changes, now });
    const { known } = this.#read();
    for (const vm of listNewlyLeaving(before, known)) {
      for (const listener of this.#leavingListeners) listener(vm);
    }
    clearTimeout(this.#absenceTimer);
    const next = computeNextAbsence(known, now);
    if (next === undefined) return;
    this.#absenceTimer = setTimeout(() => this.#change([]), next - now).unref();
  }

  #recordOwnRow(changes: readonly RowChange<JsonValue>[]): void {
    if (this.#listedSince !== undefined) return;
    const own = changes.find(({ key }) => key === this.#context.vm)?.value;
    if (PEER_SCHEMA.safeParse(own).data?.key !== this.key) return;
    this.#listedSince = this.#context.clock.readMonotonic();
  }

  /** Writes this VM's row again if a restored store has none or an older one. */
  #checkOwnRow(changes: readonly RowChange<JsonValue>[]): void {
    const { vm } = this.#context;
    const eras = changes.map(({ version }) => readEra(version));
    const before = this.#era ?? Infinity;
    this.#era = Math.max(this.#era ?? 0, ...eras);
    const isRestored = this.#era > before;
    if (!isRestored || this.#address === undefined) return;
    const own = changes.find(({ key }) => key === vm)?.value;
    const entry = PEER_SCHEMA.safeParse(own);
    if (entry.data?.key === this.key) return;
    void this.announce(this.#address);
  }
}

function createPeerWrite(vm: VmId, entry: PeerEntry): RowOperation<void> {
  const key = `peers/${vm}`;
  const value: JsonValue = { ...entry };
  const state = entry.leaving ? "leaving" : "present";
  return {
    id: `announce/${vm}/${entry.key}/${entry.region ?? ""}/${state}`,
    keys: [key],
    decide: (rows) => {
      const current = PEER_SCHEMA.safeParse(rows.get(key)?.value).data;
      // The next incarnation may have written its row before a late write.
      const isReplaced = entry.leaving && current?.key !== entry.key;
      const writes = isReplaced ? [] : [{ key, value }];
      return { writes, result: undefined };
    },
  };
}
