/**
 * Control duties: one VM at a time gives the engines of a service their orders,
 * under a lease row with a fencing number. Engines that ignore the number get
 * no order until the longest one of the last holder is over.
 */
import {
  combineUndo,
  type MonotonicTime,
  type ServiceConfig,
  type ServiceId,
  ServiceType,
  type Undo,
} from "../../core/mod.ts";
import {
  createReleaseDuty,
  createRenewDuty,
  createTakeDuty,
  type DesiredTargetState,
  DUTY_RENEWAL,
  DutyWatch,
  formatDutyKey,
  OrderPlanner,
  parseDutyRow,
  type ReportedTargetState,
  type TargetOrder,
} from "../../routing/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import { CONFIGURATION, DRAINING, type NodeContext } from "../node_context.ts";
import type { Traffic } from "./traffic.ts";

/**
 * Loads a second that the weight store takes from the whole fleet. Different
 * VMs may hold the duties, so each duty has an equal part of the rate.
 */
const WEIGHT_STORE_LOADS_PER_SECOND = 0.5;

/** Loads that one duty may order at once after a quiet time. */
const LOAD_BURST = 1;

/** One service's duty as this VM sees it. */
interface Duty {
  readonly watch: DutyWatch;
  readonly planner: OrderPlanner;
}

/** Takes, keeps and carries out duties. */
export class Duties {
  readonly #context: NodeContext;
  readonly #traffic: Traffic;
  readonly #duties = new Map<ServiceId, Duty>();

  constructor(context: NodeContext, traffic: Traffic) {
    this.#context = context;
    this.#traffic = traffic;
  }

  /** Registers the feature's dump and its periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.dutyMillis,
      random,
      run: () => this.#visitAll(),
      reportError: createErrorReporter(log, "duties"),
    });
    return combineUndo([
      kernel.registerDump("duties", () => this.#describe()),
      periodic.stop,
    ]);
  }

  /** Gives back every duty that this VM holds, for a planned stop. */
  async release(): Promise<void> {
    const now = this.#readTime();
    await Promise.all([...this.#duties].map(async ([service, { watch }]) => {
      const fence = watch.readFence(now);
      if (fence === undefined) return;
      watch.recordLost();
      const operation = createReleaseDuty({
        duty: formatDuty(service),
        holder: this.#createHolder(),
        fence,
        wallTime: this.#context.clock.readWall(),
      });
      await this.#context.writer.run(operation, {
        giveUpAt: now + DUTY_RENEWAL,
      });
    }));
  }

  async #visitAll(): Promise<void> {
    // A VM that is being stopped takes nothing it would have to give back.
    if (this.#context.kernel.read(DRAINING)) return;
    const services = this.#listServices();
    await Promise.all(services.map((service) => this.#visit(service)));
  }

  /** Services whose engines are to have a model. */
  #listServices(): ServiceConfig[] {
    const { services } = this.#context.kernel.read(CONFIGURATION);
    return [...services.values()].filter((service) =>
      service.type === ServiceType.ModelEngine && service.model !== undefined
    );
  }

  async #visit(service: ServiceConfig): Promise<void> {
    const duty = this.#readDuty(service.id);
    if (duty.watch.readFence(this.#readTime()) === undefined) {
      await this.#tryToTake(service, duty.watch);
    } else {
      await this.#renewIfDue(service, duty.watch);
    }
    await this.#giveOrders(service, duty);
  }

  #readDuty(service: ServiceId): Duty {
    const known = this.#duties.get(service);
    if (known !== undefined) return known;
    const duties = Math.max(1, this.#listServices().length);
    const limit = {
      loadsPerSecond: WEIGHT_STORE_LOADS_PER_SECOND / duties,
      burst: LOAD_BURST,
    };
    const planner = new OrderPlanner(limit, this.#readTime());
    const duty = { watch: new DutyWatch(), planner };
    this.#duties.set(service, duty);
    return duty;
  }

  async #tryToTake(service: ServiceConfig, watch: DutyWatch): Promise<void> {
    const { table, writer, clock, log } = this.#context;
    const duty = formatDuty(service.id);
    const read = await table.read([formatDutyKey(duty)]);
    if (read.isLeft()) return;
    const row = parseDutyRow(read.unsafeCoerce()[0]);
    const now = this.#readTime();
    watch.recordRow(row, now);
    const lapsed = watch.findLapsed(now);
    // A lease that may still be held is only watched.
    const { vm, incarnation } = this.#createHolder();
    const own = row?.vm === vm && row.incarnation === incarnation;
    const free = row === undefined || row.released || lapsed !== undefined;
    if (!free && !own) return;
    const sentAt = this.#readTime();
    const taken = await writer.run(
      createTakeDuty({
        duty,
        holder: this.#createHolder(),
        longestOrder: service.longestOrder,
        ...(lapsed === undefined ? {} : { lapsed }),
        wallTime: clock.readWall(),
      }),
      { giveUpAt: sentAt + DUTY_RENEWAL },
    );
    const result = taken.toMaybe().extract();
    if (result?.held !== true) return;
    watch.recordTaken(result, { sentAt, now: this.#readTime() });
    log.info(LogEvent.DutyTaken, { duty, fence: result.fence });
  }

  async #renewIfDue(service: ServiceConfig, watch: DutyWatch): Promise<void> {
    const sentAt = this.#readTime();
    const due = watch.findDueRenewal(sentAt);
    if (due === undefined) return;
    const { writer, clock, log } = this.#context;
    const duty = formatDuty(service.id);
    const renewed = await writer.run(
      createRenewDuty({
        duty,
        holder: this.#createHolder(),
        ...due,
        wallTime: clock.readWall(),
      }),
      { giveUpAt: sentAt + DUTY_RENEWAL },
    );
    const result = renewed.toMaybe().extract();
    if (result === undefined) return;
    if (result.held) return watch.recordRenewed(result.renewals, sentAt);
    watch.recordLost();
    log.info(LogEvent.DutyLost, { duty });
  }

  async #giveOrders(service: ServiceConfig, duty: Duty): Promise<void> {
    const now = this.#readTime();
    const fence = duty.watch.readFence(now);
    if (fence === undefined) return;
    const orders = duty.planner.planOrders(createWishes(service), {
      facts: this.#collectFacts(service),
      right: { fence, unfencedAllowed: duty.watch.isUnfencedAllowed(now) },
      now,
    });
    await Promise.all(
      orders.map((order) => this.#give(service, { order, watch: duty.watch })),
    );
  }

  async #give(
    service: ServiceConfig,
    input: { readonly order: TargetOrder; readonly watch: DutyWatch },
  ): Promise<void> {
    const { order, watch } = input;
    const target = service.targets.find((each) => each.id === order.target);
    if (target === undefined) return;
    const { targets, log } = this.#context;
    const { type, name, fence } = order;
    // Read again right before the send, in the same step: a VM that slept since
    // the plan was made must not act on it.
    if (watch.readFence(this.#readTime()) !== fence) return;
    const timeout = service.longestOrder;
    const sent = targets.order(target, { type, name, fence, timeout });
    const accepted = await sent;
    log.info(LogEvent.OrderGiven, {
      target: target.id,
      order: type,
      name,
      fence,
      accepted,
    });
  }

  #collectFacts(service: ServiceConfig): Map<string, ReportedTargetState> {
    const facts = new Map<string, ReportedTargetState>();
    for (const { id } of service.targets) {
      const fact = this.#traffic.readFacts(id);
      if (fact !== undefined) facts.set(id, fact);
    }
    return facts;
  }

  #createHolder() {
    const { settings, incarnation } = this.#context;
    return { vm: settings.vm, incarnation };
  }

  #readTime(): MonotonicTime {
    return this.#context.clock.readMonotonic();
  }

  #describe(): unknown {
    const now = this.#readTime();
    return [...this.#duties].map(([service, { watch, planner }]) => ({
      service,
      fence: watch.readFence(now) ?? null,
      openOrders: planner.listOpen(),
    }));
  }
}

function formatDuty(service: ServiceId): string {
  return `models/${service}`;
}

/** Every engine of a service is to have the service's model, and no other. */
function createWishes(service: ServiceConfig): DesiredTargetState[] {
  const { id, model, checksFencing, longestOrder } = service;
  return service.targets.map((target) => ({
    target: target.id,
    service: id,
    models: model === undefined ? [] : [model],
    adapters: [],
    checksFencing,
    longestOrder,
  }));
}
