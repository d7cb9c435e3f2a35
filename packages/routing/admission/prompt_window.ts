/**
 * How much prompt text may be on its way to be read by a service's engines.
 *
 * Engines read prompts in turn, so a wave of long prompts delays the first
 * token of everything behind it, whatever its priority. This window keeps the
 * unread prompt tokens of one VM just above what keeps the engines busy: it
 * shrinks when first tokens come later than reading alone explains, and grows
 * while they do not. It needs no word from other VMs: all see the same delays.
 */
import {
  type Millis,
  type MonotonicTime,
  Priority,
  type Tokens,
} from "../../core/mod.ts";

const FIRST_WINDOW: Tokens = 8_192;
const LEAST_WINDOW: Tokens = 1_024;
const MOST_WINDOW: Tokens = 262_144;

/** Delay beyond the reading time that keeps engines busy without a queue. */
const WANTED_DELAY: Millis = 400;

/** Part of its reading time by which a prompt may be late besides. */
const WANTED_PART = 2;

const SHRINK = 0.9;
const SHRINK_INTERVAL: Millis = 500;
const GROWTH = 0.1;

/** Tokens that any prompt counts for at least, since a step has its own cost. */
const LEAST_PROMPT: Tokens = 256;

/** By how much the learned reading time may rise with each prompt. */
const READ_TIME_DRIFT = 1.01;

/** Windows that a priority may fill; the first priority is not held back. */
const WINDOWS: Readonly<Record<Priority, number>> = {
  [Priority.Safety]: Infinity,
  [Priority.Interactive]: 2,
  [Priority.Standard]: 1,
  [Priority.Bulk]: 0.75,
};

/** The window of one service on one VM. */
export class PromptWindow {
  #window: Tokens = FIRST_WINDOW;
  #unread: Tokens = 0;
  #readTime: Millis = Infinity;
  #shrunkAt: MonotonicTime = -Infinity;

  /** Tokens sent and not yet read. */
  get unread(): Tokens {
    return this.#unread;
  }

  /** Tokens that may be unread. */
  get size(): Tokens {
    return this.#window;
  }

  /** Returns whether a prompt of this priority may be sent. */
  hasRoom(priority: Priority): boolean {
    return this.#unread < this.#window * WINDOWS[priority];
  }

  /** Counts a prompt that is sent. */
  recordStart(tokens: Tokens): void {
    this.#unread += tokens;
  }

  /** Counts a prompt out; its delay is known if it brought a first token. */
  recordRead(
    tokens: Tokens,
    read: { readonly delay?: Millis; readonly now: MonotonicTime },
  ): void {
    const limited = this.#unread >= this.#window / 2;
    this.#unread = Math.max(0, this.#unread - tokens);
    if (read.delay === undefined) return;
    const reading = this.#learnReading(tokens, read.delay);
    const wanted = WANTED_DELAY + (1 + WANTED_PART) * reading;
    if (read.delay > wanted) this.#shrink(read.now);
    else if (limited) this.#grow(tokens);
  }

  /** Returns the delay that reading this prompt alone explains. */
  #learnReading(tokens: Tokens, delay: Millis): Millis {
    const size = Math.max(LEAST_PROMPT, tokens);
    const drifted = this.#readTime * READ_TIME_DRIFT;
    this.#readTime = Math.min(drifted, delay / size);
    return this.#readTime * size;
  }

  #shrink(now: MonotonicTime): void {
    if (now - this.#shrunkAt < SHRINK_INTERVAL) return;
    this.#shrunkAt = now;
    this.#window = Math.max(LEAST_WINDOW, this.#window * SHRINK);
  }

  #grow(tokens: Tokens): void {
    const grown = this.#window + GROWTH * tokens;
    this.#window = Math.min(MOST_WINDOW, grown);
  }
}
