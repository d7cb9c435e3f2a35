/**
 * Answers other VMs that ask for the configuration. A call is held until there
 * is a newer one than the asking VM has, and the answer holds what that VM
 * lacks, and how old this one's knowledge is.
 */
import type { Bytes, Millis, MonotonicTime } from "../../../core/mod.ts";
import type {
  PeerConfigurationAnswer,
  PeerConfigurationQuery,
} from "../../../peer/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { MAX_PEER_HOLD } from "../peers/peer_access.ts";
import {
  type ConfigurationAccess,
  type ConfigurationRow,
  isConfigurationOverdue,
} from "./configuration_page.ts";
import type { ConfigurationTexts } from "./configuration_texts.ts";
import {
  type ConfigurationTraffic,
  type GivenAnswer,
  RowForm,
} from "./configuration_traffic.ts";

/**
 * Fraction of the deadline within which the store has answered a VM that counts
 * as connected to it.
 */
const CONTACT_SHARE = 0.4;

/** Maximum size of a row in an answer that leaves out large ones. */
const MAX_INLINE_BYTES: Bytes = 8_192;

/** What an asking VM lacks of the configuration. */
export type ConfigurationNews = Pick<
  PeerConfigurationAnswer,
  "row" | "difference" | "isOmitted"
>;

/** Answers the calls of other VMs. */
export class ConfigurationAnswers {
  readonly #context: GatewayContext;
  readonly #access: ConfigurationAccess;
  readonly #texts: ConfigurationTexts;
  readonly #traffic: ConfigurationTraffic;
  /** Ends the wait of each held call. */
  readonly #waiters = new Set<() => void>();

  constructor(
    context: GatewayContext,
    input: {
      readonly access: ConfigurationAccess;
      readonly texts: ConfigurationTexts;
      readonly traffic: ConfigurationTraffic;
    },
  ) {
    this.#context = context;
    this.#access = input.access;
    this.#texts = input.texts;
    this.#traffic = input.traffic;
  }

  /** Answers a peer, at the latest when the time to hold its call is over. */
  async answer(
    query: PeerConfigurationQuery,
  ): Promise<PeerConfigurationAnswer> {
    const { clock } = this.#context;
    const startedAt = clock.readMonotonic();
    const until = startedAt + Math.min(query.wait, MAX_PEER_HOLD);
    while (!this.#isNewer(query) && !this.#isOverdue()) {
      const left = until - clock.readMonotonic();
      if (left <= 0) break;
      await this.#waitForNews(left);
    }
    const { version, currentUntil, row } = this.#access.readPage();
    const news = row === undefined || !this.#isNewer(query)
      ? {}
      : await this.#formatNews(row, query);
    this.#traffic.recordGiven(measureNews(news));
    const now = clock.readMonotonic();
    return {
      version,
      held: now - startedAt,
      reachesStore: this.#reachesStore(now),
      ...(currentUntil === undefined
        ? {}
        : { age: Math.max(0, now - currentUntil) }),
      ...(row === undefined ? {} : { configuration: readOwnVersion(row) }),
      ...news,
    };
  }

  /** Number of calls that wait for a newer configuration. */
  get heldCalls(): number {
    return this.#waiters.size;
  }

  /** Answers the calls that wait for a newer configuration. */
  notifyWaiters(): void {
    for (const notify of [...this.#waiters]) notify();
  }

  #isOverdue(): boolean {
    return isConfigurationOverdue(this.#context, this.#access);
  }

  #reachesStore(now: MonotonicTime): boolean {
    const answeredAt = this.#context.dialect.table.readTime?.()?.receivedAt;
    return answeredAt !== undefined &&
      now - answeredAt <=
        CONTACT_SHARE * this.#context.settings.configurationMillis;
  }

  #isNewer(query: PeerConfigurationQuery): boolean {
    const { row } = this.#access.readPage();
    if (row === undefined) return false;
    // After a restore the newer configuration may have the lower row version.
    return row.version > query.after ||
      readOwnVersion(row) > (query.known ?? Infinity);
  }

  /** Returns the row as what the asking VM lacks of it. */
  async #formatNews(
    { key, version }: ConfigurationRow,
    { base, omitsLarge }: PeerConfigurationQuery,
  ): Promise<ConfigurationNews> {
    const difference = base === undefined
      ? undefined
      : this.#texts.formatDifference(base);
    const text = await (difference ?? this.#texts.formatWhole());
    if (omitsLarge && text.length > MAX_INLINE_BYTES) {
      return { isOmitted: true };
    }
    const row = { key, version, text };
    return difference === undefined ? { row } : { difference: row };
  }

  #waitForNews(maxMillis: Millis): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, maxMillis);
      timer.unref();
      this.#waiters.add(finish);
    });
  }
}

/** Returns the form and the size of the row in an answer. */
export function measureNews(
  { row, difference }: ConfigurationNews,
): GivenAnswer {
  if (row !== undefined) return { form: RowForm.Whole, bytes: row.text.length };
  if (difference === undefined) return { form: RowForm.None, bytes: 0 };
  return { form: RowForm.Difference, bytes: difference.text.length };
}

/** Returns the configuration's own version, which a restore doesn't change. */
function readOwnVersion(row: ConfigurationRow): number {
  return row.value.configuration.version;
}
