/**
 * Keeps this VM at the newest document that the table or a peer knows, and
 * says how sure it is of that.
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
import type { NewsExchange } from "./news_exchange.ts";

/** A peer's word on its document, as it travels. */
const PEER_WORD_SCHEMA = z.object({
  version: z.number().int().nonnegative(),
  confirmedAge: z.number().optional(),
});

/** Longest time that a peer's word may have been on its way. */
const LONGEST_DELAY: Millis = 1_000;

/** The document that this VM knows. */
export interface FollowedDocument {
  readonly state: DocumentState;
  readonly recent: RecentChanges;
  /** When the table last showed, here or to a peer, that nothing is newer. */
  readonly freshness: Freshness;
}

/** The document followed. */
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

/** What the follower uses. */
export interface FollowerPorts {
  readonly client: PeerClient;
  readonly news: NewsExchange;
  /** Returns the peer address of a VM, if it is known. */
  readonly findAddress: (vm: VmId) => string | undefined;
  /** Is called when a newer document is in force. */
  readonly onChange: (state: DocumentState) => void;
}

/** Follows the document. */
export class DocumentFollower {
  readonly #context: NodeContext;
  readonly #ports: FollowerPorts;
  /** A VM that said that it runs a newer version, and where to read it. */
  #newerPeer: VmId | undefined;
  #periodic: BackgroundProcess | undefined;

  constructor(context: NodeContext, ports: FollowerPorts) {
    this.#context = context;
    this.#ports = ports;
  }

  /** Registers the feature's command, dump, news part and periodic work. */
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
      this.#ports.news.register("document", {
        create: () => this.#createWord(),
        apply: (from, value) => this.#hearWord(from, value),
      }),
      this.#periodic.stop,
    ]);
  }

  /** Returns the reader that peers are served from. */
  createReader(): DocumentReader {
    const { state, recent } = this.#read();
    return new StateReader(state, recent);
  }

  /** Catches up with the table, or with a peer when the table is out of reach. */
  async follow(): Promise<void> {
    const caughtUp = await this.#load(this.#context.table, true);
    const newer = this.#newerPeer;
    this.#newerPeer = undefined;
    if (caughtUp || newer === undefined) return;
    const address = this.#ports.findAddress(newer);
    if (address === undefined) return;
    await this.#load(createPeerReader(this.#ports.client, address), false);
  }

  /** Returns the document in force. */
  readState(): DocumentState {
    return this.#read().state;
  }

  /** Returns how sure this VM is that no newer document is in force. */
  readFreshness(): FreshnessState {
    const { state, freshness } = this.#read();
    return computeFreshnessState(freshness, {
      now: this.#context.clock.readMonotonic(),
      staleAfter: state.configuration.staleAfter,
    });
  }

  /** Puts a document in force that was just committed through this VM. */
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
   * Returns true when the source answered. Only the table confirms: a peer may
   * be behind what this VM itself ran in an earlier life.
   */
  async #load(reader: DocumentReader, confirms: boolean): Promise<boolean> {
    const { clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    const before = this.#read().state;
    const loaded = await loadDocument(reader, before);
    if (loaded.isLeft()) return false;
    const { state, changes } = loaded.unsafeCoerce();
    this.#change((current) => ({
      state: state.version > current.state.version ? state : current.state,
      recent: changes.reduce(addRecentChange, current.recent),
      freshness: confirms
        ? recordStoreAnswer(current.freshness, askedAt)
        : current.freshness,
    }));
    if (state.version > before.version) {
      log.info(LogEvent.DocumentApplied, { version: state.version });
      this.#ports.onChange(this.#read().state);
    }
    return true;
  }

  #createWord(): JsonValue {
    const { state, freshness } = this.#read();
    const { version } = state;
    const now = this.#context.clock.readMonotonic();
    return { ...createFreshnessReport(freshness, { version, now }) };
  }

  #hearWord(from: VmId, value: JsonValue): void {
    const word = PEER_WORD_SCHEMA.safeParse(value).data;
    if (word === undefined) return;
    const { version, confirmedAge } = word;
    const ownVersion = this.#read().state.version;
    if (version > ownVersion) {
      this.#newerPeer = from;
      this.#periodic?.wake();
      return;
    }
    // The peer's answer may have been on its way for the longest silence.
    const askedAt = this.#context.clock.readMonotonic() - LONGEST_DELAY;
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

/** Reads a peer's document over tRPC. */
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

/** Turns an answer into one that a peer is sent; an error becomes no rows. */
export function createPeerRows(
  answer: Either<PlatformError, { rows: readonly Row[]; next?: string }>,
): PeerRows {
  return answer.caseOf<PeerRows>({
    Left: () => ({ rows: [] }),
    Right: (page) => page as unknown as PeerRows,
  });
}
