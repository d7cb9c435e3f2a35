/** Tests of the limits on unread prompt tokens by priority. */
import test from "ava";
import { Priority } from "../../core/mod.ts";
import { PromptWindow } from "./prompt_window.ts";

const PROMPT = 1_000;

/**
 * Sends prompts of a priority, one at a time, whose first tokens arrive after a
 * delay.
 */
function recordFirstTokens(
  window: PromptWindow,
  count: number,
  options: { priority: Priority; delay: number; from: number },
): void {
  const { priority, delay, from } = options;
  for (let index = 0; index < count; index++) {
    window.recordStart(PROMPT);
    const now = from + index * 600;
    window.recordFirstToken({ priority, tokens: PROMPT, delay, now });
  }
}

/**
 * Returns how many prompts of a priority may be sent before its window is full.
 */
function countAdmissible(window: PromptWindow, priority: Priority): number {
  let count = 0;
  while (window.hasCapacity(priority) && count < 1_000) {
    window.recordStart(PROMPT);
    count++;
  }
  for (let index = 0; index < count; index++) window.releaseTokens(PROMPT);
  return count;
}

test("late first tokens shrink the windows of lower priorities only", (t) => {
  const window = new PromptWindow();
  const priority = Priority.Interactive;
  recordFirstTokens(window, 1, { priority, delay: 100, from: 0 });
  const before = countAdmissible(window, Priority.Standard);
  recordFirstTokens(window, 20, { priority, delay: 5_000, from: 1_000 });
  t.true(countAdmissible(window, Priority.Standard) < before / 2);
  t.is(countAdmissible(window, Priority.Interactive), before);
  t.is(countAdmissible(window, Priority.Safety), 1_000);
});

test("one prompt of the lowest priority may always be sent, however late first tokens are", (t) => {
  const window = new PromptWindow();
  const priority = Priority.Safety;
  recordFirstTokens(window, 1, { priority, delay: 100, from: 0 });
  recordFirstTokens(window, 500, { priority, delay: 60_000, from: 1_000 });
  t.true(countAdmissible(window, Priority.Bulk) >= 1);
});

test("a shrunk window grows again when no first token of a higher priority is late", (t) => {
  const window = new PromptWindow();
  recordFirstTokens(window, 1, {
    priority: Priority.Safety,
    delay: 100,
    from: 0,
  });
  recordFirstTokens(window, 30, {
    priority: Priority.Safety,
    delay: 5_000,
    from: 1_000,
  });
  const shrunk = countAdmissible(window, Priority.Standard);
  const standard = { priority: Priority.Standard, delay: 100 };
  for (let round = 0; round < 100; round++) {
    for (let sent = 0; sent < 3; sent++) window.recordStart(PROMPT);
    const now = 30_000 + round * 100;
    for (let arrived = 0; arrived < 3; arrived++) {
      window.recordFirstToken({ ...standard, tokens: PROMPT, now });
    }
  }
  t.true(countAdmissible(window, Priority.Standard) > 2 * shrunk);
});
