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
  type MonotonicTime,
  type PlatformError,
  type Row,
  type SliceType,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import {
  addRecentChange,
  createDocumentState,
  type DocumentReader,
  type DocumentState,
  loadDocument,
  type RecentChanges,
  StateReader,
} from "../../document/mod.ts";
import type { PeerClient, PeerRows } from "../../peer/mod.ts";
import { LogEvent } from "../event_log.ts";
import type { NodeContext } from "../node_context.ts";
import { type PeriodicProcess, startPeriodic } from "../processes.ts";
import type { NewsExchange } from "./news_exchange.ts";

/** The document that this VM knows. */
export interface FollowedDocument {
  readonly state: DocumentState;
  readonly recent: RecentChanges;
  /** When the table or a peer last showed that nothing is newer. */
  readonly confirmedAt: MonotonicTime | undefined;
}

/** The document followed. */
export const DOCUMENT: SliceType<FollowedDocument> = {
  name: "document",
  createInitial: () => ({
    state: createDocumentState(),
    recent: [],
    confirmedAt: undefined,
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
  #periodic: PeriodicProcess | undefined;

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
      reportError: (error) =>
        log.error(LogEvent.ProcessFailed, {
          process: "document",
          reason: String(error),
        }),
    });
    return combineUndo([
      undoCommand,
      kernel.registerDump("document", () => this.#describe()),
      this.#ports.news.register("document", {
        create: () => this.#read().state.version,
        apply: (from, value) => this.#hearVersion(from, value),
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
    const caughtUp = await this.#load(this.#context.table);
    const newer = this.#newerPeer;
    this.#newerPeer = undefined;
    if (caughtUp || newer === undefined) return;
    const address = this.#ports.findAddress(newer);
    if (address === undefined) return;
    await this.#load(createPeerReader(this.#ports.client, address));
  }

  /** Puts a document in force that this VM has just committed. */
  apply(state: DocumentState): void {
    this.#change((before) =>
      before.state.version >= state.version ? before : { ...before, state }
    );
    this.#ports.onChange(this.#read().state);
  }

  #read(): FollowedDocument {
    return this.#context.kernel.read(DOCUMENT);
  }

  #change(change: (before: FollowedDocument) => FollowedDocument): void {
    this.#context.kernel.dispatch(CHANGE_DOCUMENT, change);
  }

  /** Returns true when the source answered. */
  async #load(reader: DocumentReader): Promise<boolean> {
    const { clock, log } = this.#context;
    const askedAt = clock.readMonotonic();
    const before = this.#read().state;
    const loaded = await loadDocument(reader, before);
    if (loaded.isLeft()) return false;
    const { state, changes } = loaded.unsafeCoerce();
    this.#change((current) => ({
      state: state.version > current.state.version ? state : current.state,
      recent: changes.reduce(addRecentChange, current.recent),
      confirmedAt: askedAt,
    }));
    if (state.version > before.version) {
      log.info(LogEvent.DocumentApplied, { version: state.version });
      this.#ports.onChange(this.#read().state);
    }
    return true;
  }

  #hearVersion(from: VmId, value: JsonValue): void {
    if (typeof value !== "number") return;
    if (value <= this.#read().state.version) return;
    this.#newerPeer = from;
    this.#periodic?.wake();
  }

  #describe(): unknown {
    const { state, confirmedAt } = this.#read();
    const now = this.#context.clock.readMonotonic();
    return {
      version: state.version,
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
export function toPeerRows(
  answer: Either<PlatformError, { rows: readonly Row[]; next?: string }>,
): PeerRows {
  return answer.caseOf<PeerRows>({
    Left: () => ({ rows: [] }),
    Right: (page) => page as unknown as PeerRows,
  });
}
