/**
 * Plans exchanges of grants between an account and the store, at most one at a
 * time for each account. Planning an exchange changes the account at once, so
 * that tokens being returned cannot be reserved. The store's answer completes
 * the exchange.
 */
import type {
  EventId,
  MonotonicTime,
  Tokens,
  WallTime,
} from "../../core/mod.ts";
import { changeGrant, computeGrantRoom, PART_SEPARATOR } from "../account.ts";
import type { EventAccount, Grant, VmIncarnation } from "../account.ts";
import type { GrantReturn } from "../queries/choose_grant_returns.ts";
import {
  type GrantPlan,
  planGrants,
  type PlanInput,
  type StandbyPlan,
} from "../queries/plan_grants.ts";
import type {
  GrantExchange,
  GrantExchangeResult,
} from "../rows/exchange_grants.ts";
import type {
  GrantShrink,
  LoanReturn,
  SpentReport,
} from "../rows/row_changes.ts";
import {
  createStandbyGrantId,
  type StandbyExchange,
} from "../standby/standby_changes.ts";
import { closeGrants, shrinkGrant } from "./close_grants.ts";
import { receiveGrant } from "./receive_grant.ts";

/** Inputs of an exchange besides those of its plan. */
export interface ExchangeInput extends PlanInput {
  /**
   * Id of the exchange and of its new grant; unique over all VMs and
   * incarnations.
   */
  readonly grantId: string;
  readonly holder: VmIncarnation;
  readonly initialLimit: Tokens;
  /**
   * Whether the limit of an existing row is raised to `initialLimit` when it is
   * lower; false if absent.
   */
  readonly raisesLimit?: boolean;
  readonly wallTime: WallTime;
  /**
   * Spending rate of this VM in tokens per second; absent where VMs don't report
   * it.
   */
  readonly drawRate?: number;
  /** Ids of the unused standby grants, which a planned stop returns. */
  readonly heldStandby?: readonly string[];
  /** Ids of standby grants in use that the budget row still lists as standby. */
  readonly usedStandby?: readonly string[];
  /** Plans what to take and what to return; {@link planGrants} if absent. */
  readonly plan?: (account: EventAccount) => GrantPlan;
}

/**
 * Plans the next exchange of an account with the store. When the returned
 * account has an `exchange` that the given one did not have, run the operation
 * that `createGrantExchange` creates for it and pass the result to
 * {@link receiveExchange}. Until the store has confirmed the exchange, nothing
 * more is planned; run its operation again if there is no answer.
 */
export function planExchange(
  account: EventAccount,
  input: ExchangeInput,
): EventAccount {
  if (account.exchange !== undefined) return account;
  const plan = input.plan?.(account) ?? planGrants(account, input);
  const { now } = input;
  const { closing, shrinking } = partitionReturns(plan.grantReturns);
  const closes = [...plan.close, ...closing];
  const closed = closeGrants(account, closes.map((grant) => grant.id));
  const { account: shrunk, shrinks } = shrinkGrants(closed, {
    grantReturns: shrinking,
    now,
  });
  let changed = shrunk;
  if (closing.length > 0) changed = { ...changed, lastReturn: now };
  const exchange = {
    ...createBaseExchange(account.eventId, input, closes),
    shrinks,
    ...(input.drawRate === undefined
      ? {}
      : { spent: listSpent(shrunk, closes) }),
    ...(plan.take === undefined ? {} : { take: createTake(input, plan.take) }),
    ...createStandby(input, plan.standby ?? { drops: [], take: 0 }),
  };
  return hasChanges(exchange) ? { ...changed, exchange } : changed;
}

/**
 * Completes the unconfirmed exchange with the store's answer: removes the grants
 * that were closed or returned and adds the grant that was taken.
 */
export function receiveExchange(
  account: EventAccount,
  input: {
    readonly result: GrantExchangeResult;
    /**
     * When the new grant ends: the time of the request plus the grant's term.
     */
    readonly deadline: MonotonicTime;
  },
): EventAccount {
  const { exchange, ...rest } = account;
  if (exchange === undefined) return account;
  const removedIds = [
    ...(exchange.closes ?? []).map((close) => close.grantId),
    ...(exchange.returns ?? []).map((loan) => loan.transferId),
  ];
  const grants = rest.grants.filter((grant) => !removedIds.includes(grant.id));
  const completed = { ...rest, grants };
  const { size, grownGrantId } = input.result;
  if (exchange.take === undefined || size === 0) return completed;
  if (grownGrantId !== undefined) {
    return changeGrant(completed, grownGrantId, (grant) => ({
      ...grant,
      size: grant.size + size,
    }));
  }
  return receiveGrant(completed, {
    grantId: exchange.take.grantId,
    size,
    deadline: input.deadline,
  });
}

/**
 * Plans the return of all tokens that are not reserved, for a planned stop. All
 * grants are marked as closing. Grants without reservations are closed. The
 * VM's own grants with reservations shrink to what is in use; loans with
 * reservations stay until a later call finds nothing reserved.
 */
export function planLastExchange(
  account: EventAccount,
  input: ExchangeInput,
): EventAccount {
  if (account.exchange !== undefined) return account;
  const closed = closeGrants(account, account.grants.map((each) => each.id));
  const idle = closed.grants.filter((grant) => grant.reserved === 0);
  const drops = input.heldStandby ?? [];
  const grantReturns = closed.grants
    .filter((grant) => grant.reserved > 0 && computeGrantRoom(grant) > 0)
    .filter((grant) => grant.lenderGrantId === undefined)
    .map((grant) => ({ grant, tokens: computeGrantRoom(grant) }));
  const { now } = input;
  const { account: stopped, shrinks } = shrinkGrants(closed, {
    grantReturns,
    now,
  });
  const exchange = {
    ...createBaseExchange(account.eventId, input, idle),
    shrinks,
    ...createStandby(input, { drops, take: 0 }),
  };
  return hasChanges(exchange) ? { ...stopped, exchange } : stopped;
}

/**
 * Shrinks grants by the tokens they return; `shrinks` are the changes to make to
 * the budget row.
 */
function shrinkGrants(
  account: EventAccount,
  input: {
    readonly grantReturns: readonly GrantReturn[];
    readonly now: MonotonicTime;
  },
): { readonly account: EventAccount; readonly shrinks: GrantShrink[] } {
  let shrunk = account;
  const shrinks: GrantShrink[] = [];
  for (const { grant, tokens } of input.grantReturns) {
    shrunk = shrinkGrant(shrunk, {
      grantId: grant.id,
      returned: tokens,
      now: input.now,
    });
    shrinks.push({ grantId: grant.id, size: grant.size - tokens });
  }
  return { account: shrunk, shrinks };
}

/**
 * Separates grants that return all their unspent tokens, which are closed, from
 * those that shrink. Loans can only be returned in full, so a partial return of
 * a loan is omitted.
 */
function partitionReturns(grantReturns: readonly GrantReturn[]) {
  const isFullReturn = ({ grant, tokens }: GrantReturn) =>
    grant.reserved === 0 && grant.size - grant.spent === tokens;
  const closing = grantReturns.filter(isFullReturn).map((each) => each.grant);
  const shrinking = grantReturns.filter((each) =>
    !isFullReturn(each) && each.grant.lenderGrantId === undefined
  );
  return { closing, shrinking };
}

function createTake(
  input: ExchangeInput,
  take: NonNullable<GrantPlan["take"]>,
) {
  const { grantId, holder, wallTime } = input;
  return { grantId, holder, wallTime, ...take };
}

function createStandby(
  input: ExchangeInput,
  plan: StandbyPlan,
): { standby?: StandbyExchange } {
  const used = input.usedStandby ?? [];
  const { drops, take } = plan;
  if (used.length === 0 && drops.length === 0 && take === 0) return {};
  const { holder, wallTime } = input;
  const grantId = createStandbyGrantId(input.grantId);
  return {
    standby: {
      used,
      drops,
      ...(take === 0
        ? {}
        : { take: { grantId, holder, wallTime, wanted: take } }),
    },
  };
}

/** Returns an exchange that closes own grants and returns borrowed ones. */
function createBaseExchange(
  eventId: EventId,
  input: ExchangeInput,
  grants: readonly Grant[],
): GrantExchange {
  const own = grants.filter((grant) => grant.lenderGrantId === undefined);
  return {
    eventId,
    id: input.grantId,
    initialLimit: input.initialLimit,
    ...(input.raisesLimit === true ? { raisesLimit: true } : {}),
    ...(input.drawRate === undefined
      ? {}
      : { rate: { vm: input.holder.vm, rate: input.drawRate } }),
    closes: own.map(({ id, spent, loans }) => ({ grantId: id, spent, loans })),
    returns: grants.flatMap(createReturn),
  };
}

/** Returns what was spent of the account's own grants that stay open. */
function listSpent(
  account: EventAccount,
  closes: readonly Grant[],
): SpentReport[] {
  const closing = new Set(closes.map((grant) => grant.id));
  return account.grants
    .filter((grant) => grant.lenderGrantId === undefined && grant.spent > 0)
    .filter((grant) => !closing.has(grant.id))
    .map(({ id, spent }) => ({ grantId: id, spent }));
}

function createReturn(grant: Grant): LoanReturn[] {
  const { id, lenderGrantId, size, spent, parts } = grant;
  if (lenderGrantId === undefined) return [];
  const isLast = parts === 0 && !id.includes(PART_SEPARATOR);
  return [{ transferId: id, lenderGrantId, unspent: size - spent, isLast }];
}

function hasChanges(exchange: GrantExchange): boolean {
  return exchange.take !== undefined || exchange.standby !== undefined ||
    (exchange.closes ?? []).length > 0 ||
    (exchange.returns ?? []).length > 0 || (exchange.shrinks ?? []).length > 0;
}
