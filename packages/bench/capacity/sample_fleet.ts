/** Configurations and views of any size, shaped like the two users' own. */
import {
  BudgetPreference,
  createEmptyConfiguration,
  type CustomerConfig,
  type EventConfig,
  type FleetConfiguration,
  type KindConfig,
  Priority,
  Repeatability,
  type ServiceConfig,
  ServiceType,
  StalePolicy,
  type TargetConfig,
} from "../../core/mod.ts";
import {
  createMembershipView,
  type Member,
  type MembershipView,
  MemberState,
} from "../../membership/mod.ts";

/** Sizes of a fleet. */
export interface FleetSize {
  readonly targets: number;
  readonly budgets: number;
  readonly customers: number;
  readonly services: number;
  readonly regions: number;
}

/** The fleet of the plan. */
export const PLANNED_FLEET_SIZE: FleetSize = {
  targets: 1_200,
  budgets: 80_000,
  customers: 3_800,
  services: 7,
  regions: 7,
};

/** Entry VMs of the plan. */
export const PLANNED_MEMBER_COUNT = 380;

/** Returns a configuration of a size; every target has the URL, if one is given. */
export function createSampleConfiguration(
  size: FleetSize,
  targetUrl?: string,
): FleetConfiguration {
  const services = createMap(
    size.services,
    (index) => createService(index, { size, targetUrl }),
  );
  const customers = createMap(size.customers, createCustomer);
  const events = createMap(size.budgets, (index) => createEvent(index, size));
  return {
    ...createEmptyConfiguration(),
    version: 1,
    services,
    customers,
    events,
  };
}

/** Returns a view of live VMs spread over regions. */
export function createSampleView(
  members: number,
  regions = PLANNED_FLEET_SIZE.regions,
): MembershipView {
  const list = Array.from(
    { length: members },
    (_, index) => createMember(index, regions),
  );
  const view = createMembershipView(list[0]!);
  return list.reduce(
    (before, each) => ({
      ...before,
      members: before.members.add(each.vm, each),
    }),
    view,
  );
}

/** Returns the name of an event by its index. */
export function formatEventId(index: number): string {
  return `event-${index}`;
}

function createMap<Value extends { readonly id: string }>(
  count: number,
  create: (index: number) => Value,
): Map<string, Value> {
  const values = Array.from({ length: count }, (_, index) => create(index));
  return new Map(values.map((value) => [value.id, value]));
}

function createService(
  index: number,
  input: { readonly size: FleetSize; readonly targetUrl: string | undefined },
): ServiceConfig {
  const { size, targetUrl } = input;
  const id = `service-${index}`;
  const count = Math.ceil(size.targets / size.services);
  return {
    id,
    type: ServiceType.ModelEngine,
    path: "/v1/chat/completions",
    checksRequestKeys: false,
    checksFencing: true,
    longestOrder: 30_000,
    retryRatio: 0.1,
    progressTimeout: 10_000,
    targets: Array.from(
      { length: count },
      (_, target) => {
        const config = createTarget(id, target, size.regions);
        return targetUrl === undefined ? config : { ...config, url: targetUrl };
      },
    ),
  };
}

function createTarget(
  service: string,
  index: number,
  regions: number,
): TargetConfig {
  const region = index % regions;
  return {
    id: `${service}-target-${index}`,
    service,
    url: `http://10.${region}.${index >> 8}.${index & 255}:8000`,
    region: `region-${region}`,
    dataCentre: `dc-${region}-${index % 3}`,
    capacity: 32,
  };
}

function createCustomer(index: number): CustomerConfig {
  return {
    id: `customer-${index}`,
    keyHashes: [index.toString(16).padStart(64, "0")],
    limits: {
      requestsPerSecond: 100,
      tokensPerSecond: 100_000,
      concurrentRequests: 1_000,
    },
    weight: 1,
  };
}

function createEvent(index: number, size: FleetSize): EventConfig {
  const kind = createKind(`service-${index % size.services}`);
  return {
    id: formatEventId(index),
    team: `team-${index % 40}`,
    budgetTokens: 1_000_000,
    lean: BudgetPreference.FewerRefusals,
    customers: [`customer-${index % size.customers}`],
    kinds: new Map([[kind.id, kind]]),
    homes: 1,
  };
}

function createKind(service: string): KindConfig {
  return {
    id: "chat",
    service,
    priority: Priority.Interactive,
    repeatability: Repeatability.Repeatable,
    maxOutputTokens: 400,
    flatTokens: 0,
    deadline: 10_000,
    whenStale: StalePolicy.CarryOn,
  };
}

function createMember(index: number, regions: number): Member {
  const region = index % regions;
  const host = `10.${region}.1.${index}`;
  return {
    vm: `vm-${index}`,
    incarnation: `2026-${index}`,
    state: MemberState.Live,
    region: `region-${region}`,
    dataCentre: `dc-${region}-${index % 3}`,
    peerAddress: `${host}:7001`,
    callerAddress: `${host}:7000`,
    documentVersion: 1,
    heardAt: 0,
  };
}
