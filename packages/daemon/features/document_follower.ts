/**
 * Keeps this VM's copy of the operators' document up to date from the store or,
 * while the store is unavailable, from a peer, and tracks how recently the copy
 * was confirmed to be the newest.
 */
import type { Either } from "purify-ts";
import {
  combineUndo,
  type CommandType,
  createCommand,
  type JsonValue,
  type Millis,
  type PlatformError,
  type Row,
  type SliceType,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import { z } from "zod";
import {
  addRecentChange,
  type ChangeRow,
  computeFreshnessState,
  createDocumentState,
  createFreshness,
  createFreshnessReport,
  type DocumentReader,
  type DocumentState,
  type Freshness,
  type FreshnessState,
  loadDocument,
  type RecentChanges,
  recordFreshnessReport,
  recordStoreAnswer,
  StateReader,
} from "../../document/mod.ts";
import type { PeerClient, PeerRows } from "../../peer/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import type { NodeContext } from "../node_context.ts";
import type { GossipExchange } from "./gossip_exchange.ts";

/** A peer's report on its document version, as sent between VMs. */
const PEER_REPORT_SCHEMA = z.object({
  version: z.number().int().nonnegative(),
  confirmedAge: z.number().optional(),
});

/** Upper bound on the network delay of a peer's report. */
const MAX_REPORT_DELAY: Millis = 1_000;

/** This VM's copy of the document. */
export interface FollowedDocument {
  readonly state: DocumentState;
  /** The latest changes, which are served to peers that are behind. */
  readonly recent: RecentChanges;
  /** When the store last confirmed, here or to a peer, that no newer version exists. */
  readonly freshness: Freshness;
}

/** State slice of this VM's copy of the document. */
export const DOCUMENT: SliceType<FollowedDocument> = {
  name: "document",
  createInitial: () => ({
    state: createDocumentState(),
    recent: [],
    freshness: createFreshness(),
  }),
};

const CHANGE_DOCUMENT: CommandType<
  (document: FollowedDocument) => FollowedDocument,
  FollowedDocument
> = createCommand("document.change");

/** What the follower uses of other features. */
export interface FollowerPorts {
  readonly client: PeerClient;
  readonly gossip: GossipExchange;
  /** Returns a VM's peer address, or undefined if it is unknown. */
  readonly findAddress: (vm: VmId) => string | undefined;
  /** Called with the document after a newer one was loaded, or one committed here. */
  readonly onChange: (state: DocumentState) => void;
}

/** Polls for newer versions of the document and applies them. */
export class DocumentFollower {
  readonly #context: NodeContext;
  readonly #ports: FollowerPorts;
  /** A peer that reported a newer version, from which it can be read. */
  #newerPeer: VmId | undefined;
  #periodic: BackgroundProcess | undefined;

  constructor(context: NodeContext, ports: FollowerPorts) {
    this.#context = context;
    this.#ports = ports;
  }

  /**
   * Registers the command, the state dump and the gossip part, and starts the
   * periodic work.
   */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const undoCommand = kernel.registerCommand(
      CHANGE_DOCUMENT,
      (change, update) => {
        const after = change(update.read(DOCUMENT));
        update.write(DOCUMENT, after);
        return after;
      },
    );
    this.#periodic = startPeriodic({
      interval: settings.intervals.documentPollMillis,
      random,
      run: () => this.follow(),
      reportError: createErrorReporter(log, "document"),
    });
    return combineUndo([
      undoCommand,
      kernel.registerDump("document", () => this.#describe()),
      this.#ports.gossip.register("document", {
        create: () => this.#createReport(),
        apply: (from, value) => this.#receiveReport(from, value),
      }),
      this.#periodic.stop,
    ]);
  }

  /** Returns a reader of this VM's copy, from which peers are served. */
  createReader(): DocumentReader {
    const { state, recent } = this.#read();
    return new StateReader(state, recent);
  }

  /** Loads newer versions from the store, or from a peer if the store fails. */
  async follow(): Promise<void> {
    const storeAnswered = await this.#load(this.#context.table, true);
    const newerPeer = this.#newerPeer;
    this.#newerPeer = undefined;
    if (storeAnswered || newerPeer === undefined) return;
    const address = this.#ports.findAddress(newerPeer);
    if (address === undefined) return;
    await this.#load(createPeerReader(this.#ports.client, address), false);
  }

  /** Returns the current document. */
  readState(): DocumentState {
    return this.#read().state;
  }

  /** Returns whether the document was recently confirmed to be the newest. */
  readFreshness(): FreshnessState {
    const { state, freshness } = this.#read();
    return computeFreshnessState(freshness, {
      now: this.#context.clock.readMonotonic(),
      staleAfter: state.configuration.staleAfter,
    });
  }

  /** Applies a document that was just committed through this VM. */
  apply(state: DocumentState, change: ChangeRow | undefined): void {
    this.#change((before) => {
      if (before.state.version >= state.version) return before;
      const recent = change === undefined
        ? before.recent
        : addRecentChange(before.recent, change);
      return { ...before, state, recent };
    });
    const { version } = this.#read().state;
    this.#context.log.info(LogEvent.DocumentApplied, { version });
    this.#ports.onChange(this.#read().state);
  }

  #read(): FollowedDocument {
    return this.#context.kernel.read(DOCUMENT);
  }

  #change(change: (before: FollowedDocument) => FollowedDocument): void {
    this.#context.kernel.dispatch(CHANGE_DOCUMENT, change);
  }

  /**
   * Loads newer versions from a source; returns true when it answered. Only the
   * store can confirm that no newer version exists: a peer may be behind a
   * version that this VM used in an earlier incarnation.
   */
  async #load(
    reader: DocumentReader,
    isAuthoritative: boolean,
  ): Promise<boolean> {
    const { clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    const before = this.#read().state;
    const loaded = await loadDocument(reader, before);
    if (loaded.isLeft()) return false;
    const { state, changes } = loaded.unsafeCoerce();
    this.#change((current) => ({
      state: state.version > current.state.version ? state : current.state,
      recent: changes.reduce(addRecentChange, current.recent),
      freshness: isAuthoritative
        ? recordStoreAnswer(current.freshness, askedAt)
        : current.freshness,
    }));
    if (state.version > before.version) {
      log.info(LogEvent.DocumentApplied, { version: state.version });
      this.#ports.onChange(this.#read().state);
    }
    return true;
  }

  #createReport(): JsonValue {
    const { state, freshness } = this.#read();
    const { version } = state;
    const now = this.#context.clock.readMonotonic();
    return { ...createFreshnessReport(freshness, { version, now }) };
  }

  #receiveReport(from: VmId, value: JsonValue): void {
    const report = PEER_REPORT_SCHEMA.safeParse(value).data;
    if (report === undefined) return;
    const { version, confirmedAge } = report;
    const ownVersion = this.#read().state.version;
    if (version > ownVersion) {
      this.#newerPeer = from;
      this.#periodic?.wake();
      return;
    }
    // The report may have been in transit for up to MAX_REPORT_DELAY, so its
    // age is counted from that long ago.
    const askedAt = this.#context.clock.readMonotonic() - MAX_REPORT_DELAY;
    this.#change((current) => ({
      ...current,
      freshness: recordFreshnessReport(current.freshness, {
        report: { version, confirmedAge },
        ownVersion,
        askedAt,
      }),
    }));
  }

  #describe(): unknown {
    const { state, freshness } = this.#read();
    const now = this.#context.clock.readMonotonic();
    const { confirmedAt } = freshness;
    return {
      version: state.version,
      freshness: this.readFreshness(),
      confirmedMillisAgo: confirmedAt === undefined ? null : now - confirmedAt,
    };
  }
}

/** Returns a reader of a peer's document over tRPC. */
function createPeerReader(client: PeerClient, address: string): DocumentReader {
  return {
    read: async (keys) =>
      (await client.readRows(address, keys)).map((answer) => toRows(answer)),
    scan: async (prefix, options) => {
      const answer = await client.scanRows(address, { prefix, ...options });
      return answer.map((page) => ({
        rows: toRows(page),
        ...(page.next === undefined ? {} : { next: page.next }),
      }));
    },
  };
}

function toRows(answer: PeerRows): readonly Row[] {
  return answer.rows as readonly Row[];
}

/** Converts a reader's answer for a peer; an error becomes an empty list. */
export function createPeerRows(
  answer: Either<PlatformError, { rows: readonly Row[]; next?: string }>,
): PeerRows {
  return answer.caseOf<PeerRows>({
    Left: () => ({ rows: [] }),
    Right: (page) => page as unknown as PeerRows,
  });
}
