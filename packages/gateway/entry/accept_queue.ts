/**
 * Tells for how long connections of callers have been waiting to be accepted.
 *
 * The event loop accepts one connection in each turn. When its turns are long,
 * since the VM has more work than processor time, connections wait in the
 * kernel, where nothing shows how long; callers leave meanwhile, and the work
 * for them delays those behind. A queue that has not been empty for a while is
 * such a backlog, while a burst empties within some turns.
 */
import type { Millis, MonotonicTime } from "../../core/mod.ts";

/** What a backlog asks of new requests. */
export enum BacklogAction {
  Admit = "admit",
  /** Refuse the first request of connections accepted from the backlog. */
  RefuseAccepted = "refuse-accepted",
  /** Refuse all requests, so that the turns get short. */
  RefuseAll = "refuse-all",
}

/**
 * Time without an empty queue from which connections have waited too long.
 * Callers give up a request that is not read within about a second, so a refusal
 * is of use to them only before.
 */
const MAX_STANDING_TIME: Millis = 500;

/** The same from which refusing their requests alone doesn't help. */
const MAX_BACKLOG_TIME: Millis = 1_500;

/** Returns what to do with new requests. */
export function decideBacklogAction(standing: Millis): BacklogAction {
  if (standing < MAX_STANDING_TIME) return BacklogAction.Admit;
  return standing < MAX_BACKLOG_TIME
    ? BacklogAction.RefuseAccepted
    : BacklogAction.RefuseAll;
}

/** Observes the queue of new connections of one server. */
export class AcceptQueue {
  readonly #readTime: () => MonotonicTime;
  readonly #scheduleTurn: (run: () => void) => void;
  /** Since when each turn of the event loop has accepted a connection. */
  #standingSince: MonotonicTime | undefined;
  #hasAccepted = false;

  /**
   * @param input.scheduleTurn Calls a function at the end of this turn of the
   * event loop, or of the next one if it is called there.
   */
  constructor(
    input: {
      readonly readTime: () => MonotonicTime;
      readonly scheduleTurn: (run: () => void) => void;
    },
  ) {
    this.#readTime = input.readTime;
    this.#scheduleTurn = input.scheduleTurn;
  }

  /** Time for which the queue has not been empty; 0 if it was just now. */
  get standing(): Millis {
    return this.#standingSince === undefined
      ? 0
      : this.#readTime() - this.#standingSince;
  }

  /** Records that a connection was accepted. */
  recordAccepted(): void {
    this.#hasAccepted = true;
    if (this.#standingSince !== undefined) return;
    this.#standingSince = this.#readTime();
    this.#scheduleTurn(() => this.#endTurn());
  }

  #endTurn(): void {
    if (!this.#hasAccepted) {
      this.#standingSince = undefined;
      return;
    }
    this.#hasAccepted = false;
    this.#scheduleTurn(() => this.#endTurn());
  }
}
