/** Chooses which grants return tokens to the budget. */
import type { Tokens } from "../../core/mod.ts";
import { computeGrantRoom, type Grant } from "../account.ts";

/** Available tokens that one grant is to return. */
export interface GrantReturn {
  readonly grant: Grant;
  readonly tokens: Tokens;
}

/**
 * Distributes an excess of tokens over grants in their given order, up to what
 * each has available. The excess is rounded down to whole tokens, because the
 * schema of the budget row rejects fractions and the row would become
 * unreadable.
 */
export function chooseGrantReturns(
  grants: readonly Grant[],
  excess: Tokens,
): GrantReturn[] {
  let left = Math.floor(excess);
  const grantReturns: GrantReturn[] = [];
  for (const grant of grants) {
    const tokens = Math.min(left, computeGrantRoom(grant));
    if (tokens <= 0) continue;
    grantReturns.push({ grant, tokens });
    left -= tokens;
  }
  return grantReturns;
}
