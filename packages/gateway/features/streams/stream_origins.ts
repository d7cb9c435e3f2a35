/**
 * Knows the origin of each stream: the service, and the release of its targets'
 * software, that began it. A caller that takes up a stream at any VM gets the
 * rest from the same origin.
 *
 * The VM that forwards the first event of a stream keeps a record of it. Once
 * there are two releases, it sends it to a few peers and writes it to the store.
 * A VM that has no record asks the peers, then the store. A stream that nobody
 * has a record of is resumed only if just one release can have begun it, by what
 * VMs have seen and recorded, and if all peers that were asked or the store have
 * answered; otherwise it is refused, so that a record that is lost with its VMs
 * costs a refusal and never a mixed stream.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { type Either, Left, Right } from "purify-ts";
import {
  combineUndo,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type ServiceId,
  type Undo,
  type VmId,
} from "../../../core/mod.ts";
import type { PeerWithRegion } from "../../../lending/mod.ts";
import {
  MAX_STREAM_RECORDS,
  type PeerStreamAnswer,
  type PeerStreamQuery,
  type PeerStreamRecords,
} from "../../../peer/mod.ts";
import {
  chooseRecordHolders,
  chooseVmsToAsk,
  findOnlyRelease,
  type SeenReleases,
} from "../../../routing/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  createRefusal,
  LogEvent,
  startOnDemand,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import type { PeerAccess } from "../peers/peer_access.ts";
import type { TargetRegistry } from "../target_registry.ts";
import type { ReleaseRows } from "./release_rows.ts";
import type { BegunStream, StreamOrigin } from "./stream_record.ts";
import type { StreamRows } from "./stream_rows.ts";

/** Time for which a record is kept: longer than callers resume a stream. */
const RECORD_TERM: Millis = 120_000;

/** Maximum number of records; the least recently used are dropped. */
const MAX_RECORDS = 50_000;

/**
 * Time for which records are collected before they are sent. Streams that end
 * earlier need none.
 */
const SEND_DELAY: Millis = 25;

/**
 * Interval at which it is checked whether records that were not needed so far
 * have to be sent, since the list of targets is out of date.
 */
const CHECK_INTERVAL: Millis = 500;

/** Time for which a peer that did not answer gets no records. */
const SILENT_PEER_BACKOFF: Millis = 2_000;

/**
 * Retry-after if not all peers were asked and have answered: they or another VM
 * may know the stream.
 */
const UNHEARD_PEER_RETRY_AFTER: Millis = 1_000;

/** Maximum time for which a caller's request waits for rows of the store. */
const MAX_ROWS_WAIT: Millis = 600;

/** A stream that a caller wants to be resumed. */
export interface ResumedStream {
  /** Id of the caller's present request. */
  readonly requestId: string;
  /** Id of the request that began the stream, if the caller states it. */
  readonly stream: string | undefined;
  /** The service that its route leads to now. */
  readonly service: ServiceId;
  /** Whether its route is split among services. */
  readonly isSplit: boolean;
  /** How long ago the stream may have begun. */
  readonly period: Millis;
  /** Time by which the caller needs an answer. */
  readonly deadline: MonotonicTime;
}

/** Where the origin of a resumed stream is known from, as logged. */
enum OriginSource {
  Own = "own-record",
  Peer = "peer-record",
  Stored = "stored-record",
  /** Only one release can have begun it. */
  Only = "only-release",
}

/** The origin of a stream, if it is certain, and who was asked for it. */
interface FoundOrigin {
  readonly origin?: StreamOrigin;
  readonly source?: OriginSource;
  /** Number of peers that were asked, and that have answered so far. */
  readonly asked: number;
  readonly answered: number;
}

/** The result of a search that the caller's deadline has ended. */
const NOT_IN_TIME: FoundOrigin = { asked: 0, answered: 0 };

/** What the store's rows tell of a stream. */
interface StoredFacts {
  readonly origin?: StreamOrigin;
  readonly releases: SeenReleases;
}

/** Keeps and exchanges the origins of streams. */
export class StreamOrigins {
  readonly #context: GatewayContext;
  readonly #peers: PeerAccess;
  readonly #targets: TargetRegistry;
  readonly #rows: StreamRows;
  readonly #releases: ReleaseRows;
  readonly #records = new LRUCache<string, StreamOrigin>({
    max: MAX_RECORDS,
    ttl: RECORD_TERM,
  });
  /** Streams of use to their callers whose records have not been sent. */
  readonly #unsent = new Map<
    string,
    BegunStream & { readonly expiresAt: MonotonicTime }
  >();
  readonly #silentUntil = new Map<VmId, number>();
  #process: BackgroundProcess | undefined;

  constructor(
    context: GatewayContext,
    input: {
      readonly peers: PeerAccess;
      readonly targets: TargetRegistry;
      readonly rows: StreamRows;
      readonly releases: ReleaseRows;
    },
  ) {
    this.#context = context;
    this.#rows = input.rows;
    this.#releases = input.releases;
    this.#peers = input.peers;
    this.#targets = input.targets;
    // The entry may be the first of another release.
    this.#targets.addListingListener(() => this.#process?.wake());
  }

  /** Starts to send records to peers when they need them. */
  register(): Undo {
    const reportError = createErrorReporter(
      this.#context.log,
      "stream records",
    );
    this.#process = startOnDemand({
      computeWait: () => SEND_DELAY,
      run: () => {
        this.#sendRecords();
        return Promise.resolve(false);
      },
      reportError,
    });
    const check = startPeriodic({
      interval: CHECK_INTERVAL,
      random: this.#context.random,
      run: () => Promise.resolve(this.#sendRecords()),
      reportError,
    });
    return combineUndo([
      this.#process.stop,
      check.stop,
      this.#rows.register(),
      this.#releases.register(),
    ]);
  }

  /** Records the release of the first event of a stream. */
  recordBegun(stream: BegunStream): void {
    const { id, service, release } = stream;
    if (this.#records.has(id)) return;
    this.#records.set(id, { service, release });
    const expiresAt = this.#context.clock.readMonotonic() + stream.period;
    this.#unsent.set(id, { ...stream, expiresAt });
    if (this.#needsRecord(stream)) this.#process?.wake();
  }

  /** Drops the record of a stream that is complete. */
  recordComplete(id: string): void {
    this.#records.delete(id);
    this.#unsent.delete(id);
    this.#rows.remove(id);
  }

  /** Stores records of a peer. */
  keep({ streams }: PeerStreamRecords): void {
    for (const { id, ...origin } of streams) this.#records.set(id, origin);
  }

  /** Answers the question of a peer. */
  answer({ id, service, period }: PeerStreamQuery): PeerStreamAnswer {
    const origin = this.#records.get(id);
    return {
      ...(origin === undefined ? {} : { origin }),
      seen: this.#targets.listSeenReleases(service, period),
    };
  }

  /**
   * Returns what began a stream, or a refusal if that is not certain by the
   * deadline.
   */
  async resolve(stream: ResumedStream): Promise<Either<Refusal, StreamOrigin>> {
    const { clock, log, metrics } = this.#context;
    const startedAt = clock.readMonotonic();
    const found = await this.#findInTime(stream);
    const source = found.source ?? "unknown";
    metrics.streamsTakenUp.inc({ source });
    log.info(LogEvent.StreamTakenUp, {
      request: stream.requestId,
      stream: stream.stream,
      service: found.origin?.service,
      release: found.origin?.release,
      source,
      asked: found.asked,
      answered: found.answered,
      ms: Math.round(clock.readMonotonic() - startedAt),
    });
    if (found.origin !== undefined) return Right(found.origin);
    if (found === NOT_IN_TIME) {
      return Left(createRefusal(RefusalKind.DeadlineTooSoon, {
        retryAfter: UNHEARD_PEER_RETRY_AFTER,
      }));
    }
    return Left(createRefusal(RefusalKind.StreamUnknown, {
      retryAfter: this.#mayPeerKnow()
        ? UNHEARD_PEER_RETRY_AFTER
        : stream.period,
    }));
  }

  async #findInTime(stream: ResumedStream): Promise<FoundOrigin> {
    const timeLeft = stream.deadline - this.#context.clock.readMonotonic();
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<FoundOrigin>((resolve) => {
      timer = setTimeout(
        () => resolve(NOT_IN_TIME),
        Math.max(0, timeLeft),
      );
    });
    const found = await Promise.race([this.#find(stream), timeout]);
    clearTimeout(timer);
    return found;
  }

  async #find(stream: ResumedStream): Promise<FoundOrigin> {
    const own = stream.stream === undefined
      ? undefined
      : this.#records.get(stream.stream);
    if (own !== undefined) {
      return {
        origin: own,
        source: OriginSource.Own,
        asked: 0,
        answered: 0,
      };
    }
    const { service, period } = stream;
    const seen = this.#targets.listSeenReleases(service, period);
    // This VM has just started, and probably the others as well. Many streams
    // are then taken up at once, and one read of the rows answers for all.
    const early = seen.isComplete ? undefined : await this.#readRows(stream);
    if (early?.origin !== undefined) {
      const { origin } = early;
      return { origin, source: OriginSource.Stored, asked: 0, answered: 0 };
    }
    const peers = this.#choosePeers(stream.stream ?? "", chooseVmsToAsk);
    const answers = await this.#ask(peers, stream);
    const counts = { asked: peers.length, answered: answers.length };
    const recorded = answers.find((each) => each.origin !== undefined);
    if (recorded?.origin !== undefined) {
      const { origin } = recorded;
      return { origin, source: OriginSource.Peer, ...counts };
    }
    // Peers may have seen a release that this VM's list doesn't show yet.
    const seenByVms = [seen, ...answers.map((each) => each.seen)];
    const areHeard = answers.length === peers.length &&
      this.#listSilent(stream.stream ?? "").length === 0;
    const only = areHeard ? this.#findOnly(stream, seenByVms) : undefined;
    if (only !== undefined) {
      return { origin: only, source: OriginSource.Only, ...counts };
    }
    const rows = early ?? await this.#readRows(stream);
    if (rows.origin !== undefined) {
      return { origin: rows.origin, source: OriginSource.Stored, ...counts };
    }
    // A VM that hears neither its peers nor the store may be the one that is
    // cut off, and a release may have joined since its list was current.
    const recordedOnly = areHeard || rows.releases.isComplete
      ? this.#findOnly(stream, [...seenByVms, rows.releases])
      : undefined;
    return recordedOnly === undefined
      ? counts
      : { origin: recordedOnly, source: OriginSource.Only, ...counts };
  }

  /** Returns the only origin that a stream can have, if it is certain. */
  #findOnly(
    { service, isSplit }: ResumedStream,
    seen: readonly SeenReleases[],
  ): StreamOrigin | undefined {
    const release = isSplit ? undefined : findOnlyRelease(seen);
    return release === undefined ? undefined : { service, release };
  }

  /** Reads what the store's rows tell of a stream; nothing if it is away. */
  async #readRows(
    { stream, service, period }: ResumedStream,
  ): Promise<StoredFacts> {
    const nothing: StoredFacts = {
      releases: { releases: [], isComplete: false },
    };
    const read = async (): Promise<StoredFacts> => {
      const [streams, releases] = await Promise.all([
        stream === undefined ? undefined : this.#rows.load(),
        this.#releases.read(service, period),
      ]);
      const origin = streams?.get(stream ?? "");
      return { releases, ...(origin === undefined ? {} : { origin }) };
    };
    const timeout = sleep(MAX_ROWS_WAIT, nothing, { ref: false });
    return await Promise.race([read(), timeout]);
  }

  /**
   * Asks peers for a stream. Resolves to the answers so far as soon as one has
   * a record, else to all answers once each peer has answered or timed out.
   */
  #ask(
    peers: readonly PeerWithRegion[],
    { stream, service, period }: ResumedStream,
  ): Promise<readonly PeerStreamAnswer[]> {
    const query = { id: stream ?? "", service, period };
    const answers: PeerStreamAnswer[] = [];
    return new Promise((resolve) => {
      const calls = peers.map(async (peer) => {
        const result = await this.#peers.client
          .findStream(peer.address, query);
        result.ifLeft(() => this.#recordSilent(peer));
        result.ifRight((answer) => {
          answers.push(answer);
          if (answer.origin !== undefined) resolve(answers);
        });
      });
      void Promise.all(calls).then(() => resolve(answers));
    });
  }

  /** Whether other VMs would not resume a stream without a record. */
  #needsRecord({ service, period, isSplit }: BegunStream): boolean {
    if (isSplit) return true;
    const seen = this.#targets.listSeenReleases(service, period);
    const recorded = this.#releases.listKnown(service, period);
    return findOnlyRelease([seen, recorded]) === undefined;
  }

  /**
   * Sends the records that are needed, in one message to each holder, and keeps
   * the others as long as their streams are of use.
   */
  #sendRecords(): void {
    const batches = new Map<
      PeerWithRegion,
      (StreamOrigin & { readonly id: string })[]
    >();
    const now = this.#context.clock.readMonotonic();
    const needed = new Map<string, boolean>();
    for (const stream of this.#unsent.values()) {
      const { id, service, release, period, isSplit, expiresAt } = stream;
      const key = `${service} ${period} ${isSplit}`;
      const isNeeded = needed.get(key) ?? this.#needsRecord(stream);
      needed.set(key, isNeeded);
      if (isNeeded || now >= expiresAt) this.#unsent.delete(id);
      if (!isNeeded) continue;
      this.#rows.add(stream);
      for (const peer of this.#choosePeers(id, chooseRecordHolders)) {
        const batch = batches.get(peer) ?? [];
        batches.set(peer, batch);
        if (batch.length >= MAX_STREAM_RECORDS) continue;
        batch.push({ id, service, release });
      }
    }
    for (const [peer, streams] of batches) {
      void this.#peers.client.keepStreams(peer.address, { streams })
        .then((result) => result.ifLeft(() => this.#recordSilent(peer)));
    }
  }

  /** Returns the peers to ask for a stream that lately did not answer. */
  #listSilent(stream: string): VmId[] {
    const { vm, region } = this.#context;
    const others = this.#peers.list.listPeers();
    return chooseVmsToAsk(stream, { self: { vm, region }, others })
      .filter((chosen) => this.#isSilent(chosen));
  }

  #isSilent(peer: VmId): boolean {
    const now = this.#context.clock.readMonotonic();
    return now < (this.#silentUntil.get(peer) ?? -Infinity);
  }

  /** Returns the peers that a rule chooses for a stream. */
  #choosePeers(
    stream: string,
    choose: typeof chooseRecordHolders,
  ): PeerWithRegion[] {
    const { vm, region } = this.#context;
    const others = this.#peers.list.listPeers()
      .filter((peer) => !this.#isSilent(peer.vm));
    return choose(stream, { self: { vm, region }, others })
      .flatMap((chosen) => others.find((peer) => peer.vm === chosen) ?? []);
  }

  /** Whether a peer that was not heard may know what this VM doesn't. */
  #mayPeerKnow(): boolean {
    if (!this.#peers.list.isSettled) return true;
    const now = this.#context.clock.readMonotonic();
    return [...this.#silentUntil.values()].some((until) => now < until);
  }

  #recordSilent(peer: PeerWithRegion): void {
    const isNew = !this.#isSilent(peer.vm);
    const now = this.#context.clock.readMonotonic();
    this.#silentUntil.set(peer.vm, now + SILENT_PEER_BACKOFF);
    if (isNew) {
      this.#context.log.warn(LogEvent.PeerSilent, {
        peer: peer.vm,
        call: "stream records",
      });
    }
  }
}
