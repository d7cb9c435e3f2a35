/**
 * Keeps the record of each service's releases in the store. It is written only
 * when a release appears or is gone, so that it costs nothing while one serves.
 */
import { z } from "zod";
import {
  combineUndo,
  type JsonValue,
  type Millis,
  type MonotonicTime,
  type RowOperation,
  type ServiceId,
  type Undo,
} from "../../../core/mod.ts";
import type { StoreWriter } from "../../../ports/mod.ts";
import {
  listRecordedReleases,
  planReleaseRecord,
  type ReleaseRecord,
  type ReleaseSight,
  type SeenReleases,
} from "../../../routing/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startOnDemand,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { createRowWriter } from "../create_row_writer.ts";
import { readStoreTime } from "../read_store_time.ts";
import type { TargetRegistry } from "../target_registry.ts";

const RECORD_SCHEMA = z.object({
  /** Milliseconds by the store's clock, as in all rows. */
  since: z.number(),
  releases: z.array(z.object({
    release: z.string(),
    goneAt: z.number().exactOptional(),
  })),
});

/** Time for which a release must not be listed before it counts as gone. */
const GONE_AFTER: Millis = 5_000;

/** Interval at which releases that are gone are looked for. */
const CHECK_INTERVAL: Millis = 1_000;

/**
 * Maximum random time before a record is written. All VMs see a new release at
 * about the same time; those that wait longer find that it is recorded.
 */
const MAX_WRITE_DELAY_PER_VM: Millis = 3;

/** Time limit of a write; the next check repeats it. */
const WRITE_TIMEOUT: Millis = 3_000;

/** Maximum pause between two attempts to write. */
const MAX_BACKOFF: Millis = 500;

/** Maximum age of a read row that answers another question. */
const MAX_READ_AGE: Millis = 300;

const NOTHING_RECORDED: SeenReleases = { releases: [], isComplete: false };

/** Records the releases of services in the store and reads them. */
export class ReleaseRows {
  readonly #context: GatewayContext;
  readonly #targets: TargetRegistry;
  readonly #listServices: () => Iterable<ServiceId>;
  readonly #countVms: () => number;
  readonly #writer: StoreWriter;
  /** The records as last read or written. */
  readonly #known = new Map<ServiceId, ReleaseRecord>();
  /** The last read of each service's row, which later questions share. */
  readonly #reads = new Map<ServiceId, {
    readonly startedAt: MonotonicTime;
    readonly record: Promise<ReleaseRecord | undefined>;
  }>();
  #process: BackgroundProcess | undefined;

  constructor(
    context: GatewayContext,
    options: {
      readonly targets: TargetRegistry;
      /** Returns the services whose streams may be resumed. */
      readonly listServices: () => Iterable<ServiceId>;
      readonly countVms: () => number;
    },
  ) {
    this.#context = context;
    this.#targets = options.targets;
    this.#listServices = options.listServices;
    this.#countVms = options.countVms;
    this.#writer = createRowWriter(context, MAX_BACKOFF);
    this.#targets.addListingListener(() => this.#check());
  }

  /** Starts to record releases. */
  register(): Undo {
    const { log, random } = this.#context;
    const reportError = createErrorReporter(log, "release records");
    this.#process = startOnDemand({
      computeWait: () => random() * MAX_WRITE_DELAY_PER_VM * this.#countVms(),
      run: () => this.#write(),
      reportError,
    });
    const check = startPeriodic({
      interval: CHECK_INTERVAL,
      random,
      run: () => Promise.resolve(this.#check()),
      reportError,
    });
    return combineUndo([
      this.#process.stop,
      check.stop,
      () => this.#writer.close(),
    ]);
  }

  /**
   * Returns the releases that served in a period, as last known. It is complete
   * only while the list of targets shows releases that were added since.
   */
  listKnown(service: ServiceId, period: Millis): SeenReleases {
    const now = readStoreTime(this.#context);
    if (now === undefined || !this.#targets.isListCurrent) {
      return NOTHING_RECORDED;
    }
    return listRecordedReleases(this.#known.get(service), { now, period });
  }

  /**
   * Reads which releases served in a period, see {@link listKnown}; nothing if
   * the store is away.
   */
  async read(service: ServiceId, period: Millis): Promise<SeenReleases> {
    const startedAt = this.#context.clock.readMonotonic();
    let last = this.#reads.get(service);
    if (last === undefined || startedAt - last.startedAt > MAX_READ_AGE) {
      last = { startedAt, record: this.#readRow(service) };
      this.#reads.set(service, last);
    }
    const record = await last.record;
    return record === undefined
      ? NOTHING_RECORDED
      : this.listKnown(service, period);
  }

  async #readRow(service: ServiceId): Promise<ReleaseRecord | undefined> {
    const key = formatKey(service);
    const answer = await this.#context.dialect.table.read([key]);
    const [row] = answer.orDefault([]);
    const record = this.#parse(key, row?.value);
    if (record !== undefined) this.#known.set(service, record);
    return record;
  }

  #check(): void {
    const now = readStoreTime(this.#context);
    if (now === undefined) return;
    const isDue = [...this.#listServices()].some((service) =>
      planReleaseRecord(this.#known.get(service), {
        ...this.#see(service),
        now,
      }) !== undefined
    );
    if (isDue) this.#process?.wake();
  }

  #see(service: ServiceId): ReleaseSight {
    const recent = this.#targets.listSeenReleases(service, GONE_AFTER);
    return {
      listed: this.#targets.listReleases(service),
      isGone: (release) =>
        recent.isComplete && !recent.releases.includes(release),
    };
  }

  async #write(): Promise<boolean> {
    for (const service of new Set(this.#listServices())) {
      const now = readStoreTime(this.#context);
      if (now === undefined) return false;
      const input = { ...this.#see(service), now };
      const known = this.#known.get(service);
      if (planReleaseRecord(known, input) === undefined) continue;
      const giveUpAt = this.#context.clock.readMonotonic() + WRITE_TIMEOUT;
      const written = await this.#writer.run(
        this.#createWrite(service, input),
        { giveUpAt },
      );
      written.ifRight((record) => {
        if (record !== undefined) this.#known.set(service, record);
      });
      written.ifLeft((error) =>
        this.#context.log.warn(LogEvent.StoreFailed, {
          dependency: "release records",
          reason: error.message,
        })
      );
    }
    return false;
  }

  #createWrite(
    service: ServiceId,
    input: ReleaseSight & { readonly now: number },
  ): RowOperation<ReleaseRecord | undefined> {
    const key = formatKey(service);
    return {
      id: `record-${key}/${this.#context.vm}/${input.now}`,
      keys: [key],
      decide: (rows) => {
        const stored = this.#parse(key, rows.get(key)?.value);
        const planned = planReleaseRecord(stored, input);
        if (planned === undefined) return { writes: [], result: stored };
        const value = { ...planned } as unknown as JsonValue;
        return { writes: [{ key, value }], result: planned };
      },
    };
  }

  #parse(key: string, value: JsonValue | undefined): ReleaseRecord | undefined {
    if (value === undefined) return undefined;
    const parsed = RECORD_SCHEMA.safeParse(value);
    if (parsed.success) return parsed.data;
    this.#context.log.warn(LogEvent.RowDamaged, {
      table: "releases",
      key,
      reason: z.prettifyError(parsed.error),
    });
    return undefined;
  }
}

function formatKey(service: ServiceId): string {
  return `releases/${service}`;
}
