/**
 * Limits the unread prompt tokens of a service: tokens sent to its engines whose
 * prefill has not finished.
 *
 * Engines prefill prompts one after the other, so a burst of long prompts delays
 * the first token of every request behind it, whatever its priority. Each
 * priority has a window that bounds the unread prompt tokens of this VM. A first
 * token that arrives later than its own prefill explains shrinks the windows of
 * all lower priorities; one that arrives in time lets them grow. The highest
 * priority is never limited. VMs need not exchange their windows, because all
 * of them observe the same delays.
 */
import {
  type Millis,
  type MonotonicTime,
  Priority,
  type Tokens,
} from "../../core/mod.ts";

/** Window size at the start. */
const INITIAL_WINDOW: Tokens = 24_576;
const MIN_WINDOW: Tokens = 1_024;
const MAX_WINDOW: Tokens = 262_144;

/**
 * Delay on top of the prefill that keeps engines busy without building a queue.
 */
const ALLOWED_DELAY: Millis = 400;

/**
 * Further delay that is allowed, as a multiple of the prompt's prefill time.
 */
const ALLOWED_DELAY_FACTOR = 2;

/** Factor by which a window shrinks, at most once per interval. */
const SHRINK_FACTOR = 0.9;
const SHRINK_INTERVAL: Millis = 500;

/** Growth of a window per prompt, as a fraction of the prompt's tokens. */
const GROWTH_FACTOR = 0.1;

/**
 * Minimum number of tokens that a prompt counts for, since each engine step has
 * a fixed cost.
 */
const MIN_PROMPT_TOKENS: Tokens = 256;

/**
 * Factor by which the estimated prefill time per token may rise with each
 * prompt.
 */
const PREFILL_TIME_DRIFT = 1.01;

/**
 * Time since a window last shrank after which prompts of its own priority let it
 * grow again.
 */
const REGROWTH_DELAY: Millis = 2_000;

/** Priorities, the highest first. */
const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Safety,
  Priority.Interactive,
  Priority.Standard,
  Priority.Bulk,
];

/** Bound on the unread prompt tokens, below which a priority may send more. */
interface Window {
  size: Tokens;
  shrunkAt: MonotonicTime;
}

/** The prompt windows of one service on one VM. */
export class PromptWindow {
  readonly #windows: ReadonlyMap<Priority, Window> = new Map(
    PRIORITY_ORDER.map((priority) => [priority, createWindow(priority)]),
  );
  #unreadTokens: Tokens = 0;
  #prefillTimePerToken: Millis = Infinity;

  /** Prompt tokens sent whose prefill has not finished. */
  get unreadTokens(): Tokens {
    return this.#unreadTokens;
  }

  /**
   * Returns the unread tokens below which a priority may send another prompt.
   */
  getSize(priority: Priority): Tokens {
    return this.#windows.get(priority)!.size;
  }

  /** Returns whether a prompt of a priority may be sent now. */
  hasCapacity(priority: Priority): boolean {
    return this.#unreadTokens < this.getSize(priority);
  }

  /** Adds the tokens of a prompt that is sent. */
  recordStart(tokens: Tokens): void {
    this.#unreadTokens += tokens;
  }

  /**
   * Removes the tokens of a prompt whose prefill has finished or whose request
   * has ended.
   */
  releaseTokens(tokens: Tokens): void {
    this.#unreadTokens = Math.max(0, this.#unreadTokens - tokens);
  }

  /**
   * Records that a prompt's first token arrived after a delay: adjusts the windows
   * and removes the prompt's tokens.
   */
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
      if (priority === prompt.priority) this.#growAfterDelay(window, prompt);
      else if (late) shrinkWindow(window, { unread: this.#unreadTokens, now });
      else this.#grow(window, prompt.tokens);
    }
    this.releaseTokens(prompt.tokens);
  }

  /**
   * Returns whether a first token came later than the prefill of its prompt and
   * the allowed delay explain. Also updates the estimated prefill time per token.
   */
  #isLate(tokens: Tokens, delay: Millis): boolean {
    const size = Math.max(MIN_PROMPT_TOKENS, tokens);
    const drifted = this.#prefillTimePerToken * PREFILL_TIME_DRIFT;
    this.#prefillTimePerToken = Math.min(drifted, delay / size);
    const allowed = ALLOWED_DELAY +
      (1 + ALLOWED_DELAY_FACTOR) * this.#prefillTimePerToken * size;
    return delay > allowed;
  }

  /**
   * Grows the window of the prompt's own priority, unless a late first token
   * shrank it recently: without one, no higher priority needs the capacity.
   */
  #growAfterDelay(
    window: Window,
    prompt: { readonly tokens: Tokens; readonly now: MonotonicTime },
  ): void {
    if (prompt.now - window.shrunkAt < REGROWTH_DELAY) return;
    this.#grow(window, prompt.tokens);
  }

  /** Grows a window of which at least half is in use. */
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
  const { unread, now } = options;
  if (now - window.shrunkAt < SHRINK_INTERVAL) return;
  window.shrunkAt = now;
  // The unread tokens were too many even if the window was not full, so it
  // shrinks from the smaller of the two.
  const size = Math.min(window.size, unread) * SHRINK_FACTOR;
  window.size = Math.max(MIN_WINDOW, size);
}
