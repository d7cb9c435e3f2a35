/**
 * Decides which VMs hold tokens of a customer ahead of need.
 *
 * In a large region the home VMs hold them and lend to the others. That serves
 * even load, but a VM with much of a customer's load, as in a crowded data
 * centre, would wait for a loan with most of its requests, and have nothing when
 * the store is away. Such a VM becomes a holder by its share of the spending.
 * Shares add up to one, so the number of such holders, each of which writes the
 * budget's row, doesn't grow with the number of VMs.
 */
import { type Millis, MILLIS_PER_SECOND, type Tokens } from "../../core/mod.ts";

/**
 * Share of all spending from which a VM becomes a holder, and below which it is
 * none any more. The difference keeps a VM from becoming one again and again.
 */
const JOIN_SHARE = 1 / 10;
const LEAVE_SHARE = 1 / 20;

/** Maximum number of VMs that are holders by their share of the spending. */
export const MAX_HOLDERS_BY_SHARE = 1 / LEAVE_SHARE;

/**
 * Number of usual requests that a VM must spend during an outage to become a
 * holder: below, loans are cheaper than another writer of the row.
 */
const MIN_REQUESTS = 4;

/** What one VM knows of the spending of a customer's tokens. */
export interface HolderInput {
  /** Whether it is a home VM, which always holds tokens. */
  readonly isHome: boolean;
  /** Whether it is a holder now. */
  readonly isHolder: boolean;
  /** Its own spending rate, in tokens per second. */
  readonly rate: number;
  /** The spending rate of all VMs; undefined if not known yet. */
  readonly totalRate: number | undefined;
  /**
   * Whether the first request of any customer reached this VM long enough ago
   * that rates show who spends.
   */
  readonly hasTraffic: boolean;
  readonly outageCoverage: Millis;
  /** Usual size of a request; 0 before the first. */
  readonly usualRequest: Tokens;
}

/** Decides whether a VM should hold a customer's tokens ahead of need. */
export function decideHolder(input: HolderInput): boolean {
  const { rate, totalRate, isHolder } = input;
  if (input.isHome) return true;
  if (!input.hasTraffic || totalRate === undefined || rate <= 0) return false;
  const share = rate / Math.max(rate, totalRate);
  if (share < (isHolder ? LEAVE_SHARE : JOIN_SHARE)) return false;
  const spent = rate * input.outageCoverage / MILLIS_PER_SECOND;
  return spent >= MIN_REQUESTS * input.usualRequest * (isHolder ? 1 / 2 : 1);
}
