/**
 * How much prompt text may be on its way to be read by a service's engines.
 *
 * Engines read prompts in turn, so a wave of long prompts delays the first
 * token of everything behind it, whatever its priority. Each priority has a
 * window for the unread prompt tokens of this VM. A first token that comes
 * later than reading alone explains shrinks the windows of all priorities after
 * its own; one that comes in time lets them grow. What has nothing before it in
 * priority is never held back. The windows need no word from other VMs: all see
 * the same delays.
 */
import {
  type Millis,
  type MonotonicTime,
  Priority,
  type Tokens,
} from "../../core/mod.ts";

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

/** Time without a late first token after which a window grows by itself. */
const QUIET_TIME: Millis = 2_000;

const ORDER: readonly Priority[] = [
  Priority.Safety,
  Priority.Interactive,
  Priority.Standard,
  Priority.Bulk,
];

interface Window {
  size: Tokens;
  shrunkAt: MonotonicTime;
}

/** The windows of one service on one VM. */
export class PromptWindow {
  readonly #windows: ReadonlyMap<Priority, Window> = new Map(
    ORDER.map((priority) => [priority, createWindow(priority)]),
  );
  #unread: Tokens = 0;
  #readTime: Millis = Infinity;

  /** Tokens sent and not yet read. */
  get unread(): Tokens {
    return this.#unread;
  }

  /** Returns the tokens that may be unread when a priority sends more. */
  readSize(priority: Priority): Tokens {
    return this.#windows.get(priority)!.size;
  }

  /** Returns whether a prompt of this priority may be sent. */
  hasRoom(priority: Priority): boolean {
    return this.#unread < this.readSize(priority);
  }

  /** Counts a prompt that is sent. */
  recordStart(tokens: Tokens): void {
    this.#unread += tokens;
  }

  /** Counts a prompt out that brought no token. */
  recordDrop(tokens: Tokens): void {
    this.#unread = Math.max(0, this.#unread - tokens);
  }

  /** Counts a prompt out whose first token came after a delay. */
  recordRead(
    read: {
      readonly priority: Priority;
      readonly tokens: Tokens;
      readonly delay: Millis;
      readonly now: MonotonicTime;
    },
  ): void {
    const late = this.#isLate(read.tokens, read.delay);
    const place = ORDER.indexOf(read.priority);
    const { now } = read;
    for (const priority of ORDER.slice(place)) {
      const window = this.#windows.get(priority)!;
      if (priority === read.priority) this.#growQuiet(window, read);
      else if (late) shrinkWindow(window, { unread: this.#unread, now });
      else this.#grow(window, read.tokens);
    }
    this.recordDrop(read.tokens);
  }

  /** Returns whether reading this prompt does not explain its delay. */
  #isLate(tokens: Tokens, delay: Millis): boolean {
    const size = Math.max(LEAST_PROMPT, tokens);
    const drifted = this.#readTime * READ_TIME_DRIFT;
    this.#readTime = Math.min(drifted, delay / size);
    const wanted = WANTED_DELAY + (1 + WANTED_PART) * this.#readTime * size;
    return delay > wanted;
  }

  /** Without a late token for a while nobody before needs the room. */
  #growQuiet(
    window: Window,
    read: { readonly tokens: Tokens; readonly now: MonotonicTime },
  ): void {
    if (read.now - window.shrunkAt < QUIET_TIME) return;
    this.#grow(window, read.tokens);
  }

  #grow(window: Window, tokens: Tokens): void {
    if (this.#unread < window.size / 2) return;
    const grown = window.size + GROWTH * tokens;
    window.size = Math.max(window.size, Math.min(MOST_WINDOW, grown));
  }
}

function createWindow(priority: Priority): Window {
  const first = priority === ORDER[0];
  return { size: first ? Infinity : MOST_WINDOW, shrunkAt: -Infinity };
}

function shrinkWindow(
  window: Window,
  options: { readonly unread: Tokens; readonly now: MonotonicTime },
): void {
  const { unread, now } = options;
  if (now - window.shrunkAt < SHRINK_INTERVAL) return;
  window.shrunkAt = now;
  // A window that was never filled says nothing; what is unread was too much.
  const size = Math.min(window.size, unread) * SHRINK;
  window.size = Math.max(LEAST_WINDOW, size);
}
