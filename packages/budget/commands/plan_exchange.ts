/**
 * One exchange with the table at a time for each account: planning it changes
 * the account at once, so that nothing on its way back can be reserved, and
 * the table's answer completes it.
 */
import type {
  EventId,
  MonotonicTime,
  Tokens,
  WallTime,
} from "../../core/mod.ts";
import { computeGrantRoom, PART_SEPARATOR } from "../account.ts";
import type { EventAccount, Grant, VmIncarnation } from "../account.ts";
import type { GiveBack } from "../queries/choose_give_backs.ts";
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
import type { GrantShrink, LoanReturn } from "../rows/row_changes.ts";
import type { StandbyExchange } from "../standby/standby_changes.ts";
import { changeGrantSize, closeGrants } from "./close_grants.ts";
import { receiveGrant } from "./receive_grant.ts";

/** Inputs of an exchange besides those of its plan. */
export interface ExchangeInput extends PlanInput {
  /** Unique over all VMs and lives; names the exchange and its new grant. */
  readonly grantId: string;
  readonly holder: VmIncarnation;
  readonly initialLimit: Tokens;
  /** Whether an existing row's limit rises to the initial one; false if absent. */
  readonly raisesLimit?: boolean;
  readonly wallTime: WallTime;
  /** Tokens a second that this VM draws; absent where VMs don't tell. */
  readonly drawRate?: number;
  /** The unused standby grants, which a planned stop gives back. */
  readonly heldStandby?: readonly string[];
  /** Standby grants whose use has begun and that the table doesn't know of. */
  readonly usedStandby?: readonly string[];
  /** Says what to take and to give back; {@link planGrants} if absent. */
  readonly plan?: (account: EventAccount) => GrantPlan;
}

/**
 * Plans what the account has to tell the table. When the account returned has
 * an `exchange` that it had not before, run `createGrantExchange` on it and
 * give the result to {@link receiveExchange}. While an exchange is open
 * nothing more is planned; run it again until the table confirms it.
 */
export function planExchange(
  account: EventAccount,
  input: ExchangeInput,
): EventAccount {
  if (account.exchange !== undefined) return account;
  const plan = input.plan?.(account) ?? planGrants(account, input);
  const { now } = input;
  const { closing, shrinking } = sortGiveBacks(plan.giveBack);
  const closes = [...plan.close, ...closing];
  const closed = closeGrants(account, closes.map((grant) => grant.id));
  const { account: lowered, shrinks } = lowerGrants(closed, {
    giveBacks: shrinking,
    now,
  });
  let changed = lowered;
  if (closing.length > 0) changed = { ...changed, lastReturn: now };
  const exchange = {
    ...createSettlement(account.eventId, input, closes),
    shrinks,
    ...(plan.take === undefined ? {} : { take: createTake(input, plan.take) }),
    ...createStandby(input, plan.standby ?? { drops: [], take: 0 }),
  };
  return hasWork(exchange) ? { ...changed, exchange } : changed;
}

/** Completes the open exchange with the table's answer. */
export function receiveExchange(
  account: EventAccount,
  input: {
    readonly result: GrantExchangeResult;
    /** When its new grant ends: asking time plus the grant's term. */
    readonly deadline: MonotonicTime;
  },
): EventAccount {
  const { exchange, ...rest } = account;
  if (exchange === undefined) return account;
  const done = [
    ...(exchange.closes ?? []).map((close) => close.grantId),
    ...(exchange.returns ?? []).map((loan) => loan.transferId),
  ];
  const grants = rest.grants.filter((grant) => !done.includes(grant.id));
  const completed = { ...rest, grants };
  if (exchange.take === undefined || input.result.size === 0) return completed;
  return receiveGrant(completed, {
    grantId: exchange.take.grantId,
    size: input.result.size,
    deadline: input.deadline,
  });
}

/**
 * Plans the return of everything that is not reserved, for a planned stop:
 * grants without reservations are closed and the others are lowered.
 */
export function planLastExchange(
  account: EventAccount,
  input: ExchangeInput,
): EventAccount {
  if (account.exchange !== undefined) return account;
  const closed = closeGrants(account, account.grants.map((each) => each.id));
  const idle = closed.grants.filter((grant) => grant.reserved === 0);
  const drops = input.heldStandby ?? [];
  const giveBacks = closed.grants
    .filter((grant) => grant.reserved > 0 && computeGrantRoom(grant) > 0)
    .filter((grant) => grant.lenderGrantId === undefined)
    .map((grant) => ({ grant, tokens: computeGrantRoom(grant) }));
  const { now } = input;
  const { account: stopped, shrinks } = lowerGrants(closed, { giveBacks, now });
  const exchange = {
    ...createSettlement(account.eventId, input, idle),
    shrinks,
    ...createStandby(input, { drops, take: 0 }),
  };
  return hasWork(exchange) ? { ...stopped, exchange } : stopped;
}

/** Lowers grants by what goes back, and says so to the table. */
function lowerGrants(
  account: EventAccount,
  input: {
    readonly giveBacks: readonly GiveBack[];
    readonly now: MonotonicTime;
  },
): { readonly account: EventAccount; readonly shrinks: GrantShrink[] } {
  let lowered = account;
  const shrinks: GrantShrink[] = [];
  for (const { grant, tokens } of input.giveBacks) {
    lowered = changeGrantSize(lowered, {
      grantId: grant.id,
      returned: tokens,
      now: input.now,
    });
    shrinks.push({ grantId: grant.id, size: grant.size - tokens });
  }
  return { account: lowered, shrinks };
}

function sortGiveBacks(giveBacks: readonly GiveBack[]) {
  const isWhole = ({ grant, tokens }: GiveBack) =>
    grant.reserved === 0 && grant.size - grant.spent === tokens;
  const closing = giveBacks.filter(isWhole).map((each) => each.grant);
  const shrinking = giveBacks.filter((each) =>
    !isWhole(each) && each.grant.lenderGrantId === undefined
  );
  return { closing, shrinking };
}

function createTake(
  input: ExchangeInput,
  take: { readonly wanted: Tokens; readonly least: Tokens },
) {
  const { grantId, holder, wallTime } = input;
  return { grantId, holder, wallTime, ...take };
}

/** The names of standby grants are those of their exchange with a mark. */
const STANDBY_MARK = "s";

function createStandby(
  input: ExchangeInput,
  plan: StandbyPlan,
): { standby?: StandbyExchange } {
  const used = input.usedStandby ?? [];
  const { drops, take } = plan;
  if (used.length === 0 && drops.length === 0 && take === 0) return {};
  const { holder, wallTime } = input;
  const grantId = `${input.grantId}${STANDBY_MARK}`;
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

function createSettlement(
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

function createReturn(grant: Grant): LoanReturn[] {
  const { id, lenderGrantId, size, spent, parts } = grant;
  if (lenderGrantId === undefined) return [];
  const isLast = parts === 0 && !id.includes(PART_SEPARATOR);
  return [{ transferId: id, lenderGrantId, unspent: size - spent, isLast }];
}

function hasWork(exchange: GrantExchange): boolean {
  return exchange.take !== undefined || exchange.standby !== undefined ||
    (exchange.closes ?? []).length > 0 ||
    (exchange.returns ?? []).length > 0 || (exchange.shrinks ?? []).length > 0;
}
