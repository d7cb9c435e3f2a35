/** Chooses which grants return tokens to the budget. */
import type { Tokens } from "../../core/mod.ts";
import { computeGrantRoom, type Grant } from "../account.ts";

/** Available tokens that one grant is to return. */
export interface GiveBack {
  readonly grant: Grant;
  readonly tokens: Tokens;
}

/**
 * Distributes an excess of tokens over grants in their given order, up to what
 * each has available. The excess is rounded down to whole tokens, because the
 * schema of the budget row rejects fractions and the row would become
 * unreadable.
 */
export function chooseGiveBacks(
  grants: readonly Grant[],
  excess: Tokens,
): GiveBack[] {
  let left = Math.floor(excess);
  const giveBacks: GiveBack[] = [];
  for (const grant of grants) {
    const tokens = Math.min(left, computeGrantRoom(grant));
    if (tokens <= 0) continue;
    giveBacks.push({ grant, tokens });
    left -= tokens;
  }
  return giveBacks;
}
