/**
 * Keeps the origins of streams in progress in the store, so that they outlive a
 * kill of all VMs. Each VM writes the streams that it has begun to one row, many
 * in one write. Entries of its earlier incarnations stay until their callers
 * can't take them up any more.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import {
  combineUndo,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  type RowOperation,
  type StoreTime,
  type Undo,
} from "../../../core/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startOnDemand,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createRowWriter } from "../create_row_writer.ts";
import { readStoreTime } from "../read_store_time.ts";
import type { BegunStream, StreamOrigin } from "./stream_record.ts";

const ORIGIN_SCHEMA = z.object({
  service: z.string(),
  release: z.string(),
  /** Id of each stream, and until when its caller may take it up. */
  streams: z.array(z.tuple([z.string(), z.number()])),
});

const ROW_SCHEMA = z.object({
  /** Streams of each incarnation of the VM. */
  lives: z.array(
    z.object({ incarnation: z.string(), origins: z.array(ORIGIN_SCHEMA) }),
  ),
});

type StreamRow = z.infer<typeof ROW_SCHEMA>;
type RowLife = StreamRow["lives"][number];

/**
 * Bounds that keep a row within the size that the store accepts: the newest
 * streams are written, and those with long ids are not.
 */
const MAX_STREAMS_PER_LIFE = 300;
const MAX_LIVES = 3;
const MAX_ID_LENGTH = 64;

/**
 * Minimum time between two writes of a VM, and what each VM adds to it, since
 * all rows are in one partition.
 */
const MIN_WRITE_PAUSE: Millis = 100;
const WRITE_PAUSE_PER_VM: Millis = 8;

/** Time limit of a write; a later one has its streams as well. */
const WRITE_TIMEOUT: Millis = 2_000;

/** Maximum pause between two attempts to write the row. */
const MAX_BACKOFF: Millis = 500;

/** Maximum age of loaded rows that answer another question. */
const MAX_LOAD_AGE: Millis = 300;

/** Streams of all VMs by id. */
type StoredStreams = ReadonlyMap<string, StreamOrigin>;

/** Writes the streams of this VM to its row and reads the rows of all VMs. */
export class StreamRows {
  readonly #context: GatewayContext;
  readonly #countVms: () => number;
  readonly #writer: StoreWriter;
  /** Streams of this VM that are not complete, the oldest first. */
  readonly #own = new Map<
    string,
    StreamOrigin & { readonly until: StoreTime }
  >();
  /** The last load, and when it began. */
  #load: Promise<StoredStreams | undefined> | undefined;
  #loadedAt: MonotonicTime = -Infinity;
  #hasNews = false;
  #process: BackgroundProcess | undefined;

  constructor(
    context: GatewayContext,
    options: { readonly countVms: () => number },
  ) {
    this.#context = context;
    this.#countVms = options.countVms;
    this.#writer = createRowWriter(context, MAX_BACKOFF);
  }

  /** Starts to write the streams that are added. */
  register(): Undo {
    this.#process = startOnDemand({
      computeWait: () => 0,
      run: () => this.#write(),
      reportError: createErrorReporter(this.#context.log, "stream rows"),
    });
    return combineUndo([this.#process.stop, () => this.#writer.close()]);
  }

  /** Adds a stream that this VM has begun. */
  add({ id, service, release, period }: BegunStream): void {
    const now = readStoreTime(this.#context);
    if (now === undefined || id.length > MAX_ID_LENGTH) return;
    const until = Math.ceil(now + period);
    this.#own.set(id, { service, release, until });
    this.#hasNews = true;
    this.#process?.wake();
  }

  /** Removes a stream that is complete. */
  remove(id: string): void {
    this.#own.delete(id);
  }

  /** Returns the streams in the rows of all VMs; undefined if they can't be read. */
  load(): Promise<StoredStreams | undefined> {
    const now = this.#context.clock.readMonotonic();
    if (this.#load === undefined || now - this.#loadedAt > MAX_LOAD_AGE) {
      this.#loadedAt = now;
      this.#load = this.#readRows();
    }
    return this.#load;
  }

  async #readRows(): Promise<StoredStreams | undefined> {
    const answer = await this.#context.dialect.streamRows.load();
    return answer.map(({ rows }) => {
      const streams = new Map<string, StreamOrigin>();
      const lives = rows.flatMap(({ key, value }) =>
        this.#parse(key, value)?.lives ?? []
      );
      for (const origin of lives.flatMap(({ origins }) => origins)) {
        const { service, release } = origin;
        for (const [id] of origin.streams) {
          streams.set(id, { service, release });
        }
      }
      return streams;
    }).toMaybe().extract();
  }

  async #write(): Promise<boolean> {
    const now = readStoreTime(this.#context);
    if (!this.#hasNews || now === undefined) return false;
    this.#hasNews = false;
    this.#dropOld(now);
    const written = await this.#writer.run(this.#createWrite(now), {
      giveUpAt: this.#context.clock.readMonotonic() + WRITE_TIMEOUT,
    });
    written.ifLeft((error) => {
      this.#hasNews = true;
      this.#context.log.warn(LogEvent.StoreFailed, {
        dependency: "stream rows",
        reason: error.message,
      });
    });
    const pause = this.#countVms() * WRITE_PAUSE_PER_VM;
    await sleep(Math.max(MIN_WRITE_PAUSE, pause));
    return this.#hasNews;
  }

  #dropOld(now: StoreTime): void {
    for (const [id, { until }] of this.#own) {
      const isExcess = this.#own.size > MAX_STREAMS_PER_LIFE;
      if (until < now || isExcess) this.#own.delete(id);
    }
  }

  #createWrite(now: StoreTime): RowOperation<void> {
    const { vm, incarnation } = this.#context;
    const key = `streams/${vm}`;
    const own = { incarnation, origins: groupByOrigin(this.#own) };
    return {
      id: `write-${key}/${incarnation}/${now}`,
      keys: [key],
      decide: (rows) => {
        const earlier = (this.#parse(key, rows.get(key)?.value)?.lives ?? [])
          .filter((life) => life.incarnation !== incarnation)
          .map((life) => dropExpired(life, now))
          .filter((life) => life.origins.length > 0);
        const lives = [...earlier, own].slice(-MAX_LIVES);
        const value = { lives } as unknown as JsonValue;
        return { writes: [{ key, value }], result: undefined };
      },
    };
  }

  #parse(key: string, value: JsonValue | undefined): StreamRow | undefined {
    if (value === undefined) return undefined;
    const parsed = ROW_SCHEMA.safeParse(value);
    if (parsed.success) return parsed.data;
    this.#context.log.warn(LogEvent.RowDamaged, {
      table: "streams",
      key,
      reason: z.prettifyError(parsed.error),
    });
    return undefined;
  }
}

function groupByOrigin(
  streams: ReadonlyMap<string, StreamOrigin & { readonly until: StoreTime }>,
): RowLife["origins"] {
  const groups = new Map<string, RowLife["origins"][number]>();
  for (const [id, { service, release, until }] of streams) {
    const key = JSON.stringify([service, release]);
    const group = groups.get(key) ?? { service, release, streams: [] };
    groups.set(key, group);
    group.streams.push([id, until]);
  }
  return [...groups.values()];
}

function dropExpired(life: RowLife, now: StoreTime): RowLife {
  const origins = life.origins
    .map((origin) => ({
      ...origin,
      streams: origin.streams.filter(([, until]) => until >= now),
    }))
    .filter(({ streams }) => streams.length > 0);
  return { ...life, origins };
}
