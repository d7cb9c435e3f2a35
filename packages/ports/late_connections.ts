/**
 * Decides when a client may open another connection to a server that is slow to
 * accept them. A connection that waits to be accepted takes its turn even if the
 * client has closed it, so that a client which closes late connections and opens
 * others keeps the server from accepting any that are still in use.
 */
import type { Millis, MonotonicTime } from "../core/mod.ts";

/** The connections on which nothing has arrived yet. */
export class LateConnections<Connection> {
  readonly #interval: Millis;
  /** In the order of opening, with whether an answer is late on them. */
  readonly #unanswered = new Map<Connection, boolean>();
  #openedAt: MonotonicTime = -Infinity;

  /** @param interval Time between two openings while an answer is late. */
  constructor(interval: Millis) {
    this.#interval = interval;
  }

  /** When the next connection may be opened. */
  get nextOpening(): MonotonicTime {
    const isLate = [...this.#unanswered.values()].includes(true);
    return isLate ? this.#openedAt + this.#interval : -Infinity;
  }

  /** Records that the client begins to open a connection. */
  recordOpening(now: MonotonicTime): void {
    this.#openedAt = now;
  }

  /** Records that a connection was established. */
  recordOpened(connection: Connection): void {
    this.#unanswered.set(connection, false);
  }

  /** Records that the answer on a connection is late. */
  recordLate(connection: Connection): void {
    if (!this.#unanswered.has(connection)) return;
    this.#unanswered.set(connection, true);
  }

  /**
   * Records that data has arrived. A server accepts connections in the order of
   * opening, so that earlier ones without data may be dead: they don't delay
   * others any more.
   */
  recordData(connection: Connection): void {
    if (!this.#unanswered.has(connection)) return;
    for (const each of [...this.#unanswered.keys()]) {
      this.#unanswered.delete(each);
      if (each === connection) return;
    }
  }

  recordClosed(connection: Connection): void {
    this.#unanswered.delete(connection);
  }
}
