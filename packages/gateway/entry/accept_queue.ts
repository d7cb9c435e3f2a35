/**
 * Measures how long connections of callers have waited to be accepted, and
 * decides which are refused for it.
 *
 * The event loop accepts one connection in each turn. When its turns are long,
 * since the VM has more work than processor time, connections wait in the
 * kernel, where nothing tells how long. A probe is a connection of the VM to
 * its own listener: as the queue is first in, first out, all connections that
 * are accepted before a probe have waited longer than the probe. Probes are
 * started only while each turn finds a connection, and are few among those.
 *
 * The load that this answers is more new connections than the VM has processor
 * time for. A short queue bounds the wait without any work of the VM: callers
 * that find it full try another VM. Turns may be so long that the wait in a
 * short queue is long, too; connections that waited too long are refused then.
 * A refusal costs a good part of what an answer does, so only these are.
 */
import type { Millis, MonotonicTime, RandomSource } from "../../core/mod.ts";

/**
 * Connections that may wait to be accepted; the kernel drops further ones, and
 * their callers try another VM.
 */
export const MAX_WAITING_CONNECTIONS = 64;

/**
 * Wait from which connections are refused. Callers give up a connection of
 * which nothing was read for a second.
 */
const MAX_WAIT: Millis = 500;

/**
 * Connections that have to be accepted before a probe for its wait to count. A
 * few that waited through long turns can all be served after them.
 */
const MIN_QUEUE_LENGTH = MAX_WAITING_CONNECTIONS / 2;

/** Time without an empty queue after which a probe is of use. */
const MIN_STANDING_TIME: Millis = 50;

/** Time and connections between the starts of two probes. */
const MIN_PROBE_INTERVAL: Millis = 50;
const CONNECTIONS_PER_PROBE = 8;

/** Probes at a time; more would wait only if the queue were full. */
const MAX_PROBES = 16;

/** Share of its time that a caller waits before it sends a request again. */
const MAX_RETRY_SHARE = 1 / 3;

/**
 * Returns when a refused caller may return: spread over the time that the queue
 * takes, so that refused callers don't return at once.
 */
export function computeRetryAfter(
  input: {
    readonly wait: Millis;
    readonly least: Millis;
    /** Time for which the caller waits for an answer. */
    readonly timeout: Millis;
  },
  random: RandomSource,
): Millis {
  const { wait, least, timeout } = input;
  return Math.min(least + random() * wait, timeout * MAX_RETRY_SHARE);
}

/** A connection of the VM to its own listener. */
export interface AcceptProbe {
  close(): void;
}

/** What a probe reports while it lasts. */
export interface ProbeObserver {
  /** The kernel has put the connection into the queue. */
  recordEstablished(): void;
  /** The connection has failed or ended. */
  recordEnd(): void;
}

/** Dependencies of an {@link AcceptQueue}. */
export interface AcceptQueueOptions {
  readonly readTime: () => MonotonicTime;
  /**
   * Calls a function at the end of this turn of the event loop, or of the next
   * one if it is called there.
   */
  readonly scheduleTurn: (run: () => void) => void;
  readonly startProbe: (observer: ProbeObserver) => AcceptProbe;
}

/** When a probe began to wait. */
interface WaitingSince {
  readonly at: MonotonicTime;
  /** Number of callers' connections that were accepted before. */
  readonly accepted: number;
}

/** Observes the queue of new connections of one server. */
export class AcceptQueue {
  readonly #options: AcceptQueueOptions;
  /** Probes by age; those that don't wait for certain yet have no value. */
  readonly #probes = new Map<AcceptProbe, WaitingSince | undefined>();
  /** Number of callers' connections that were accepted. */
  #accepted = 0;
  /** Since when each turn of the event loop has accepted a connection. */
  #standingSince: MonotonicTime | undefined;
  #hasAccepted = false;
  #lastProbeAt: MonotonicTime = -Infinity;
  #acceptedSinceProbe = CONNECTIONS_PER_PROBE;

  constructor(options: AcceptQueueOptions) {
    this.#options = options;
  }

  /**
   * Records that a connection of a caller was accepted. Returns the least time
   * that it has waited if it is to be refused, undefined otherwise.
   */
  recordCaller(): Millis | undefined {
    const now = this.#options.readTime();
    this.#accepted++;
    this.#acceptedSinceProbe++;
    this.#recordAccepted(now);
    const wait = this.#computeWait(now);
    return wait < MAX_WAIT ? undefined : wait;
  }

  /** Records that a probe was accepted, and closes it. */
  recordProbe(probe: AcceptProbe): void {
    this.#recordAccepted(this.#options.readTime());
    this.#probes.delete(probe);
    probe.close();
  }

  /** Closes all probes. */
  close(): void {
    for (const probe of this.#probes.keys()) probe.close();
    this.#probes.clear();
  }

  /**
   * Returns how long a connection that is accepted now has waited in a long queue
   * at least.
   */
  #computeWait(now: MonotonicTime): Millis {
    const oldest = [...this.#probes.values()]
      .find((since) => since !== undefined);
    const isLong = oldest !== undefined &&
      this.#accepted - oldest.accepted >= MIN_QUEUE_LENGTH;
    return isLong ? now - oldest.at : 0;
  }

  #recordAccepted(now: MonotonicTime): void {
    this.#hasAccepted = true;
    if (this.#standingSince === undefined) {
      this.#standingSince = now;
      this.#options.scheduleTurn(() => this.#endTurn());
    }
    if (this.#isProbeDue(now)) this.#startProbe(now);
  }

  #isProbeDue(now: MonotonicTime): boolean {
    return now - (this.#standingSince ?? now) >= MIN_STANDING_TIME &&
      now - this.#lastProbeAt >= MIN_PROBE_INTERVAL &&
      this.#acceptedSinceProbe >= CONNECTIONS_PER_PROBE &&
      this.#probes.size < MAX_PROBES;
  }

  #startProbe(now: MonotonicTime): void {
    this.#lastProbeAt = now;
    this.#acceptedSinceProbe = 0;
    const probe = this.#options.startProbe({
      recordEstablished: () => {
        if (!this.#probes.has(probe)) return;
        this.#probes.set(probe, {
          at: this.#options.readTime(),
          accepted: this.#accepted,
        });
      },
      recordEnd: () => void this.#probes.delete(probe),
    });
    this.#probes.set(probe, undefined);
  }

  #endTurn(): void {
    if (!this.#hasAccepted) {
      this.#standingSince = undefined;
      this.#acceptedSinceProbe = CONNECTIONS_PER_PROBE;
      return this.close();
    }
    this.#hasAccepted = false;
    this.#options.scheduleTurn(() => this.#endTurn());
  }
}
