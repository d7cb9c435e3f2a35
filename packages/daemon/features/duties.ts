/**
 * Control duties: for each service of model engines, one VM at a time sends
 * orders (such as to load a model) to the engines. That VM holds the duty's
 * lease row in the store, and each order carries the lease's fencing number.
 * Engines that do not check the number get no order from a new holder until the
 * longest order of the previous holder can no longer take effect.
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
 * Model loads per second that the store of model weights allows for the whole
 * fleet. Different VMs may hold the duties, so each duty may use an equal share
 * of this rate.
 */
const WEIGHT_STORE_LOADS_PER_SECOND = 0.5;

/** Model loads that one duty may order at once after a time without loads. */
const LOAD_BURST = 1;

/** This VM's state of one service's duty, whether or not it holds the lease. */
interface Duty {
  readonly watch: DutyWatch;
  readonly planner: OrderPlanner;
}

/** Takes and renews the leases of duties, and sends orders under them. */
export class Duties {
  readonly #context: NodeContext;
  readonly #traffic: Traffic;
  readonly #duties = new Map<ServiceId, Duty>();

  constructor(context: NodeContext, traffic: Traffic) {
    this.#context = context;
    this.#traffic = traffic;
  }

  /** Registers the state dump and starts the periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const periodic = startPeriodic({
      interval: settings.intervals.dutyMillis,
      random,
      run: () => this.#runAllDuties(),
      reportError: createErrorReporter(log, "duties"),
    });
    return combineUndo([
      kernel.registerDump("duties", () => this.#describe()),
      periodic.stop,
    ]);
  }

  /** Releases every duty that this VM holds, for a planned stop. */
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

  async #runAllDuties(): Promise<void> {
    // A draining VM takes no duty, since it would have to release it again.
    if (this.#context.kernel.read(DRAINING)) return;
    const services = this.#listServices();
    await Promise.all(services.map((service) => this.#runDuty(service)));
  }

  /** Returns the model services whose configuration names a model to load. */
  #listServices(): ServiceConfig[] {
    const { services } = this.#context.kernel.read(CONFIGURATION);
    return [...services.values()].filter((service) =>
      service.type === ServiceType.ModelEngine && service.model !== undefined
    );
  }

  async #runDuty(service: ServiceConfig): Promise<void> {
    const duty = this.#getOrCreateDuty(service.id);
    if (duty.watch.readFence(this.#readTime()) === undefined) {
      await this.#tryToTake(service, duty.watch);
    } else {
      await this.#renewIfDue(service, duty.watch);
    }
    await this.#sendOrders(service, duty);
  }

  #getOrCreateDuty(service: ServiceId): Duty {
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
    // While another VM may still hold the lease, this VM only observes it.
    const { vm, incarnation } = this.#createHolder();
    const isOwn = row?.vm === vm && row.incarnation === incarnation;
    const isFree = row === undefined || row.released || lapsed !== undefined;
    if (!isFree && !isOwn) return;
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

  async #sendOrders(service: ServiceConfig, duty: Duty): Promise<void> {
    const now = this.#readTime();
    const fence = duty.watch.readFence(now);
    if (fence === undefined) return;
    const orders = duty.planner.planOrders(createDesiredStates(service), {
      facts: this.#collectReportedStates(service),
      right: { fence, unfencedAllowed: duty.watch.isUnfencedAllowed(now) },
      now,
    });
    await Promise.all(
      orders.map((order) =>
        this.#sendOrder(service, { order, watch: duty.watch })
      ),
    );
  }

  async #sendOrder(
    service: ServiceConfig,
    input: { readonly order: TargetOrder; readonly watch: DutyWatch },
  ): Promise<void> {
    const { order, watch } = input;
    const target = service.targets.find((each) => each.id === order.target);
    if (target === undefined) return;
    const { targets, log } = this.#context;
    const { type, name, fence } = order;
    // Check the lease again right before sending, with no `await` in between:
    // if this process was paused after planning, the lease may have lapsed.
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

  #collectReportedStates(
    service: ServiceConfig,
  ): Map<string, ReportedTargetState> {
    const reportedStates = new Map<string, ReportedTargetState>();
    for (const { id } of service.targets) {
      const reported = this.#traffic.readReportedState(id);
      if (reported !== undefined) reportedStates.set(id, reported);
    }
    return reportedStates;
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

/** Returns each engine's desired state: only the service's model is loaded. */
function createDesiredStates(service: ServiceConfig): DesiredTargetState[] {
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
