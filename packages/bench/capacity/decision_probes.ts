/** The single decisions whose cost is measured by size. */
import { Priority } from "../../core/mod.ts";
import {
  createEventAccount,
  type EventAccount,
  receiveGrant,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import {
  chooseHomes,
  GOSSIP_INTERVAL,
  MemberState,
  planGossip,
  planReply,
  receiveGossip,
  recordOwnDocumentVersion,
} from "../../membership/mod.ts";
import {
  Admission,
  applyTargets,
  chooseTarget,
  createRoutingState,
  recordAttemptEnd,
  recordAttemptStart,
  type RoutedRequest,
  type RoutingState,
} from "../../routing/mod.ts";
import { SeededRandom } from "../harness/random.ts";
import {
  createFollowChangeProbe,
  createPlanChangeProbe,
} from "./document_probes.ts";
import {
  createSampleConfiguration,
  createSampleView,
  formatEventId,
} from "./sample_fleet.ts";

/** What the sizes of a probe count. */
export enum SizeUnit {
  Targets = "targets",
  Budgets = "budgets",
  Members = "members",
  Customers = "customers",
}

/** One decision, prepared at a size and then called many times. */
export interface DecisionProbe {
  readonly name: string;
  readonly unit: SizeUnit;
  /** Whether each request waits for it. */
  readonly onRequestPath: boolean;
  /** Whether its largest size is left out of quick runs. */
  readonly slowToPrepare?: boolean;
  /** Returns the call to be measured. */
  readonly prepare: (size: number, random: SeededRandom) => () => unknown;
}

/** Sizes at which each unit is measured, the plan's size last. */
export const PROBE_SIZES: Readonly<Record<SizeUnit, readonly number[]>> = {
  [SizeUnit.Targets]: [12, 120, 1_200],
  [SizeUnit.Budgets]: [10, 1_000, 80_000],
  [SizeUnit.Members]: [8, 64, 380],
  [SizeUnit.Customers]: [10, 200, 3_800],
};

/** Every probe. */
export const DECISION_PROBES: readonly DecisionProbe[] = [
  {
    name: "choose target",
    unit: SizeUnit.Targets,
    onRequestPath: true,
    prepare: (size, random) => {
      const state = createTargets(size);
      const input = { request: REQUEST, now: 1, random: random.uniform };
      return () => chooseTarget(state, input);
    },
  },
  {
    name: "choose target, none has room",
    unit: SizeUnit.Targets,
    onRequestPath: true,
    prepare: (size, random) => {
      const state = createTargets(size);
      const input = {
        request: REQUEST,
        now: 1,
        random: random.uniform,
        mostLoad: 0,
      };
      return () => chooseTarget(state, input);
    },
  },
  {
    name: "choose target by prefix",
    unit: SizeUnit.Targets,
    onRequestPath: true,
    prepare: prepareChoiceByPrefix,
  },
  {
    name: "record attempt start and end",
    unit: SizeUnit.Targets,
    onRequestPath: true,
    prepare: (size, random) => {
      let state = createTargets(size);
      return () => {
        const target = `service-0-target-${random.drawInteger(0, size - 1)}`;
        state = recordAttemptStart(state, target, { now: 1 });
        state = recordAttemptEnd(state, target);
      };
    },
  },
  {
    name: "reserve and settle",
    unit: SizeUnit.Budgets,
    onRequestPath: true,
    prepare: prepareReserve,
  },
  {
    name: "find home of event",
    unit: SizeUnit.Members,
    onRequestPath: true,
    prepare: (size, random) => {
      const view = createSampleView(size, 1);
      return () => {
        const eventId = formatEventId(random.drawInteger(0, 79_999));
        return chooseHomes(view, { eventId, region: "region-0", homes: 1 });
      };
    },
  },
  {
    name: "admit, start and finish",
    unit: SizeUnit.Customers,
    onRequestPath: true,
    prepare: prepareAdmission,
  },
  {
    name: "receive gossip and plan a round",
    unit: SizeUnit.Members,
    onRequestPath: false,
    prepare: prepareGossip,
  },
  {
    name: "plan a change of one event",
    unit: SizeUnit.Budgets,
    onRequestPath: false,
    slowToPrepare: true,
    prepare: createPlanChangeProbe,
  },
  {
    name: "follow a change of one event",
    unit: SizeUnit.Budgets,
    onRequestPath: false,
    slowToPrepare: true,
    prepare: createFollowChangeProbe,
  },
  {
    name: "index the homes of a new view",
    unit: SizeUnit.Members,
    onRequestPath: false,
    prepare: prepareNewView,
  },
];

function prepareAdmission(size: number, random: SeededRandom): () => unknown {
  const { customers } = createSampleConfiguration({
    targets: 0,
    budgets: 0,
    customers: size,
    services: 1,
    regions: 1,
  });
  const admission = new Admission();
  const now = 0;
  admission.changeCustomers(customers.values(), { now, computeShare: () => 1 });
  let number = 0;
  return () => {
    const at = ++number;
    const id = `ticket-${at}`;
    admission.admit({
      ...TICKET,
      id,
      customer: `customer-${random.drawInteger(0, size - 1)}`,
      deadline: at + 10_000,
      arrivedAt: at,
    }, { now: at, random: random.uniform });
    admission.takeReady("service-0", { now: at, tryStart: () => true });
    admission.finish(id, { now: at, tokens: 400, complete: true });
  };
}

/** Each round hears news of one VM from another and plans what to pass on. */
function prepareGossip(size: number, random: SeededRandom): () => unknown {
  let view = createSampleView(size);
  let now = 0;
  let peer = createSampleView(size);
  return () => {
    now += GOSSIP_INTERVAL;
    peer = recordOwnDocumentVersion(peer, now);
    const message = planReply(peer, {
      from: { ...GOSSIP_SENDER, documentVersion: now },
      digest: 0,
      updates: [],
    });
    view = receiveGossip(view, { message, now });
    return planGossip(view, { now, random: random.uniform });
  };
}

const GOSSIP_SENDER = {
  vm: "vm-1",
  incarnation: "2026-1",
  refutation: 0,
  state: MemberState.Live,
};

const TICKET = {
  service: "service-0",
  kind: "chat",
  priority: Priority.Interactive,
  weight: 1,
  tokens: 400,
};

/** A view whose VMs were heard from again, as each round of gossip makes one. */
function prepareNewView(size: number): () => unknown {
  let view = createSampleView(size);
  const find = () =>
    chooseHomes(view, { eventId: "event-1", region: "region-0", homes: 1 });
  const member = view.members.get("vm-1")!;
  let now = 0;
  return () => {
    const heard = { ...member, heardAt: ++now };
    view = { ...view, members: view.members.add(member.vm, heard) };
    return find();
  };
}

const REQUEST: RoutedRequest = {
  service: "service-0",
  customer: "customer-0",
  digest: "0".repeat(64),
  tried: [],
  priority: Priority.Interactive,
};

function createTargets(targets: number): RoutingState {
  const configuration = createSampleConfiguration({
    targets,
    budgets: 0,
    customers: 0,
    services: 1,
    regions: 1,
  });
  const state = createRoutingState({ region: "region-0" });
  return applyTargets(state, { configuration, now: 0 });
}

function prepareChoiceByPrefix(
  size: number,
  random: SeededRandom,
): () => unknown {
  let state = createTargets(size);
  const prefixes = Array.from(
    { length: 1_000 },
    (_, index) => `prefix-${index}`,
  );
  for (const prefix of prefixes) {
    const target = `service-0-target-${random.drawInteger(0, size - 1)}`;
    state = recordAttemptStart(state, target, { now: 0, prefixes: [prefix] });
    state = recordAttemptEnd(state, target);
  }
  return () =>
    chooseTarget(state, {
      request: { ...REQUEST, prefixes: [random.choose(prefixes)] },
      now: 1,
      random: random.uniform,
    });
}

/** Accounts in a map, as the daemon keeps them; each call uses another event. */
function prepareReserve(size: number, random: SeededRandom): () => unknown {
  const accounts = new Map<string, EventAccount>();
  for (let index = 0; index < size; index++) {
    const id = formatEventId(index);
    const grant = { grantId: `${id}/1`, size: 1e12, deadline: Infinity };
    accounts.set(id, receiveGrant(createEventAccount(id), grant));
  }
  let now = 0;
  return () => {
    const id = formatEventId(random.drawInteger(0, size - 1));
    now += 1;
    const account = accounts.get(id)!;
    const held = reserveTokens(account, { tokens: 500, now }).unsafeCoerce();
    const { reservation } = held;
    accounts.set(
      id,
      settleReservation(held.account, { reservation, spent: 400, now }),
    );
  };
}
