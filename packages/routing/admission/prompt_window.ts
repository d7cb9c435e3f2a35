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

const INITIAL_WINDOW: Tokens = 24_576;
const MIN_WINDOW: Tokens = 1_024;
const MAX_WINDOW: Tokens = 262_144;

/** Delay beyond the reading time that keeps engines busy without a queue. */
const ALLOWED_DELAY: Millis = 400;

/** Part of its reading time by which a prompt may be late besides. */
const ALLOWED_DELAY_FACTOR = 2;

const SHRINK_FACTOR = 0.9;
const SHRINK_INTERVAL: Millis = 500;
const GROWTH_FACTOR = 0.1;

/** Tokens that any prompt counts for at least, since a step has its own cost. */
const MIN_PROMPT_TOKENS: Tokens = 256;

/** By how much the learned reading time may rise with each prompt. */
const PREFILL_TIME_DRIFT = 1.01;

/** Time without a late first token after which a window grows by itself. */
const QUIET_PERIOD: Millis = 2_000;

const PRIORITY_ORDER: readonly Priority[] = [
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
    PRIORITY_ORDER.map((priority) => [priority, createWindow(priority)]),
  );
  #unreadTokens: Tokens = 0;
  #prefillTimePerToken: Millis = Infinity;

  /** Tokens sent and not yet read. */
  get unreadTokens(): Tokens {
    return this.#unreadTokens;
  }

  /** Returns the tokens that may be unread when a priority sends more. */
  getSize(priority: Priority): Tokens {
    return this.#windows.get(priority)!.size;
  }

  /** Returns whether a prompt of this priority may be sent. */
  hasRoom(priority: Priority): boolean {
    return this.#unreadTokens < this.getSize(priority);
  }

  /** Counts a prompt that is sent. */
  recordStart(tokens: Tokens): void {
    this.#unreadTokens += tokens;
  }

  /** Counts a prompt out that brought no token. */
  releaseTokens(tokens: Tokens): void {
    this.#unreadTokens = Math.max(0, this.#unreadTokens - tokens);
  }

  /** Counts a prompt out whose first token came after a delay. */
  recordFirstToken(
    prompt: {
      readonly priority: Priority;
      readonly tokens: Tokens;
      readonly delay: Millis;
      readonly now: MonotonicTime;
    },
  ): void {
    const late = this.#isLate(prompt.tokens, prompt.delay);
    const rank = PRIORITY_ORDER.indexOf(prompt.priority);
    const { now } = prompt;
    for (const priority of PRIORITY_ORDER.slice(rank)) {
      const window = this.#windows.get(priority)!;
      if (priority === prompt.priority) this.#growIfQuiet(window, prompt);
      else if (late) shrinkWindow(window, { unread: this.#unreadTokens, now });
      else this.#grow(window, prompt.tokens);
    }
    this.releaseTokens(prompt.tokens);
  }

  /** Returns whether reading this prompt does not explain its delay. */
  #isLate(tokens: Tokens, delay: Millis): boolean {
    const size = Math.max(MIN_PROMPT_TOKENS, tokens);
    const drifted = this.#prefillTimePerToken * PREFILL_TIME_DRIFT;
    this.#prefillTimePerToken = Math.min(drifted, delay / size);
    const allowed = ALLOWED_DELAY +
      (1 + ALLOWED_DELAY_FACTOR) * this.#prefillTimePerToken * size;
    return delay > allowed;
  }

  /** Without a late token for a while nobody before needs the room. */
  #growIfQuiet(
    window: Window,
    prompt: { readonly tokens: Tokens; readonly now: MonotonicTime },
  ): void {
    if (prompt.now - window.shrunkAt < QUIET_PERIOD) return;
    this.#grow(window, prompt.tokens);
  }

  #grow(window: Window, tokens: Tokens): void {
    if (this.#unreadTokens < window.size / 2) return;
    const grown = window.size + GROWTH_FACTOR * tokens;
    window.size = Math.max(window.size, Math.min(MAX_WINDOW, grown));
  }
}

function createWindow(priority: Priority): Window {
  const isHighest = priority === PRIORITY_ORDER[0];
  return { size: isHighest ? Infinity : INITIAL_WINDOW, shrunkAt: -Infinity };
}

function shrinkWindow(
  window: Window,
  options: { readonly unread: Tokens; readonly now: MonotonicTime },
): void {
  const { unread: unread, now } = options;
  if (now - window.shrunkAt < SHRINK_INTERVAL) return;
  window.shrunkAt = now;
  // A window that was never filled says nothing; what is unread was too much.
  const size = Math.min(window.size, unread) * SHRINK_FACTOR;
  window.size = Math.max(MIN_WINDOW, size);
}
