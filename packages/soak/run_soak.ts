/**
 * Carries out one soak run: starts gateway processes and stand-ins of the store
 * and the targets on the loopback interface, injects the faults that a seed
 * determines, and sends calls from callers that keep their connections open
 * until the gateway's process exits.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type BrokenStream,
  callGateway,
  createTrialConfiguration,
  type GatewayAnswer,
  OTHER_RELEASE,
  Relay,
  RelayMode,
  StoreFault,
  StoreServer,
  TargetFault,
  TargetServer,
} from "../../platform/stand_ins/mod.ts";
import { SeededRandom } from "../bench/mod.ts";
import type { Millis } from "../core/mod.ts";
import {
  type AcknowledgedVersion,
  type Disruption,
  DisruptionEffect,
  findService,
  listKeyVersions,
} from "./configuration_effects.ts";
import {
  FaultKind,
  LONG_DURATION,
  planFaults,
  type PlannedFault,
} from "./fault_plan.ts";
import {
  type CallRecord,
  checkGuarantees,
  type GuaranteeResult,
  type LimitedPeriod,
  type VmInterruption,
} from "./guarantees.ts";
import { VmProcess } from "./vm_process.ts";

/**
 * Options of a soak run. The faults and the callers' random choices follow from
 * the seed.
 */
export interface SoakOptions {
  readonly seed: number;
  readonly vms: number;
  /** Length of the period in which faults start. */
  readonly duration: Millis;
}

/** Results of a soak run. */
export interface SoakReport extends SoakOptions {
  readonly faults: readonly PlannedFault[];
  readonly calls: readonly CallRecord[];
  /** One result for each guarantee. */
  readonly guarantees: readonly GuaranteeResult[];
  /** Directory of the VMs' logs, kept only if a guarantee was violated. */
  readonly logs?: string;
}

/** Time limit for a VM to become ready at the start of the run. */
const MAX_START_TIME: Millis = 20_000;

/** Time after the last fault during which callers continue to send calls. */
const FAULT_FREE_TIME: Millis = 12_000;

/** Mean of the exponentially distributed pause before each call of a caller. */
const MEAN_CALL_PAUSE: Millis = 60;

/** Number of concurrent callers of each VM. */
const CALLERS_PER_VM = 3;

/** Probability that a call has a key that all configurations hold. */
const STAYING_KEY_CHANCE = 0.2;

/** Probability that another call has a key of the newest configuration. */
const NEWEST_KEY_CHANCE = 0.6;

/** Time that a caller allows for its call, sent as the call's deadline. */
const CALLER_TIMEOUT: Millis = 3_000;

/** Probability that a request fails during {@link FaultKind.TargetFaults}. */
const TARGET_FAULT_CHANCE = 0.2;

/** Probability that a stream breaks off during {@link FaultKind.Release}. */
const CUT_CHANCE = 0.3;

/** All but one: the bodies of callers are compared without comments. */
const SOAK_TARGET_FAULTS = Object.values(TargetFault)
  .filter((fault) => fault !== TargetFault.Comments);

const CUT_FAULTS = [TargetFault.CutEvent, TargetFault.UnframedCutEvent];

/** Limits of targets during {@link FaultKind.TargetLimit}, per second. */
const TARGET_LIMITS = [0.5, 1, 3];

/** Time for which a target names a limit, besides that of the fault. */
const LIMIT_TIME: Millis = 6_000;

/** Delay of bytes to and from the store during {@link FaultKind.DelayStore}. */
const STORE_DELAY: Millis = 150;

/** Time for which all VMs are down during {@link FaultKind.KillInRelease}. */
const RESTART_DELAY: Millis = 300;

/** Time for which a settings file is half written. */
const RELOAD_DELAY: Millis = 50;

/** Number of versions that stale reads lag behind. */
const STALE_READ_VERSIONS = 20;

/** Pause after each loss of the store's history, if it is lost repeatedly. */
const FORGET_INTERVAL: Millis = 200;

/** Time for which a store that is restored is away. */
const AWAY_TIME: Millis = 700;

/** Time after which lost rows are written again, if not at once. */
const REWRITE_DELAY: Millis = 2_000;

/** Pause after each change of the configuration. */
const CONFIGURATION_INTERVAL: Millis = 2_500;

/** Interval at which the operator tries again while the store is away. */
const AWAY_POLL_INTERVAL: Millis = 50;

/** How many versions ago the keys and routes of calls were added, at most. */
const MAX_VERSION_AGE = 4;

/**
 * A planned stop is checked only if no other fault is active within this time
 * before it, and none starts within this time after it.
 */
const UNDISTURBED_MARGIN: Millis = 5_000;

/** Prepaid tokens, before top-ups, of the customer that is meant to run out. */
const SCARCE_PREPAID = 60_000;

/** Prepaid tokens of the customer that never runs out. */
const AMPLE_PREPAID = 100_000_000;

/** Prepaid tokens that each configuration adds for the scarce customer. */
const PREPAID_TOP_UP = 10_000;

/** Carries out one soak run and returns its results. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const soak = await Soak.start(options);
  try {
    return await soak.run();
  } finally {
    await soak.stop();
  }
}

/** One soak run with its processes, stand-ins and records. */
class Soak {
  readonly #options: SoakOptions;
  readonly #store: StoreServer;
  readonly #targets: readonly TargetServer[];
  /** Targets of another release, listed during {@link FaultKind.Release}. */
  readonly #replacing: readonly TargetServer[];
  readonly #relays: readonly Relay[];
  readonly #vms: readonly VmProcess[];
  readonly #folder: string;
  readonly #random: SeededRandom;
  readonly #calls: Omit<CallRecord, "runs" | "services">[] = [];
  readonly #startedAt = performance.now();
  readonly #limitedPeriods: LimitedPeriod[] = [];
  readonly #interruptions: VmInterruption[] = [];
  readonly #acknowledged: AcknowledgedVersion[] = [];
  readonly #disruptions: Disruption[] = [];
  /** Version of the newest configuration. */
  #configurationVersion = 0;
  /** Number of times that prepaid tokens were added. */
  #topUps = 1;
  #keepsLogs = false;
  #isOver = false;

  private constructor(
    options: SoakOptions,
    parts: {
      readonly store: StoreServer;
      readonly targets: readonly TargetServer[];
      readonly replacing: readonly TargetServer[];
      readonly relays: readonly Relay[];
      readonly vms: readonly VmProcess[];
      readonly folder: string;
    },
  ) {
    this.#options = options;
    this.#store = parts.store;
    this.#targets = parts.targets;
    this.#replacing = parts.replacing;
    this.#relays = parts.relays;
    this.#vms = parts.vms;
    this.#folder = parts.folder;
    this.#random = new SeededRandom(options.seed).createBranch("callers");
  }

  static async start(options: SoakOptions): Promise<Soak> {
    const folder = mkdtempSync(join(tmpdir(), `anvilrail-soak-`));
    const store = await StoreServer.start();
    const ids = [
      ...["app-1", "app-2", "app-3", "spare-1", "spare-2"],
      ...["llm-1", "llm-2", "llm-3"],
    ];
    const targets = await Promise.all(ids.map((id) => TargetServer.start(id)));
    const replacing = await Promise.all(
      ["llm-4", "llm-5"].map((id) => TargetServer.start(id, OTHER_RELEASE)),
    );
    const relays: Relay[] = [];
    const vms: VmProcess[] = [];
    for (let number = 1; number <= options.vms; number++) {
      const relay = await Relay.start(store.address);
      relays.push(relay);
      const name = `v${number}`;
      const storeAddress = relay.address;
      vms.push(new VmProcess({ name, storeAddress, folder }));
    }
    const soak = new Soak(options, {
      store,
      targets,
      replacing,
      relays,
      vms,
      folder,
    });
    for (const target of targets) soak.#listTarget(target, "ready");
    await soak.#storeConfiguration();
    return soak;
  }

  /** Injects the faults while callers send calls, then checks the records. */
  async run(): Promise<SoakReport> {
    const { seed, vms, duration } = this.#options;
    for (const vm of this.#vms) vm.start();
    const ready = await Promise.all(
      this.#vms.map((vm) => vm.waitReady(MAX_START_TIME)),
    );
    this.#checkReady(ready);
    const faults = planFaults({ seed, vms, duration });
    const callers = this.#vms.flatMap((vm) =>
      Array.from(
        { length: CALLERS_PER_VM },
        (_, number) => this.#runCaller(vm, number),
      )
    );
    const operator = this.#runOperator();
    const planStart = this.#now();
    await Promise.all(faults.map((fault) => this.#runFault(fault)));
    const ended = this.#vms.filter((vm) => !vm.isRunning);
    await this.#recordDisruption(ended, {
      duringDisruption: () => ended.forEach((vm) => vm.start()),
    });
    const faultsEndedAt = this.#now();
    await sleep(FAULT_FREE_TIME);
    this.#isOver = true;
    await Promise.all([...callers, operator]);
    const calls = this.#countRuns();
    const guarantees = checkGuarantees({
      calls,
      prepaid: new Map([
        ["scarce", this.#computeScarcePrepaid()],
        ["ample", AMPLE_PREPAID],
      ]),
      undisturbedStops: this.#listUndisturbedStops(faults, planStart),
      limitedPeriods: this.#limitedPeriods,
      acknowledged: this.#acknowledged,
      disruptions: this.#disruptions,
      faultsEndedAt,
    });
    this.#keepsLogs = guarantees.some((each) => each.failures.length > 0);
    const report = { ...this.#options, faults, calls, guarantees };
    return this.#keepsLogs ? { ...report, logs: this.#folder } : report;
  }

  /** Throws an error that names the VMs that aren't ready; keeps the logs. */
  #checkReady(ready: readonly boolean[]): void {
    const late = this.#vms.filter((_, index) => !ready[index]);
    if (late.length === 0) return;
    this.#keepsLogs = true;
    const states = late.map(({ name, isRunning }) =>
      `${name} (${isRunning ? "running" : "ended"})`
    );
    throw new Error(
      `VMs did not become ready: ${states.join(", ")}. Logs: ${this.#folder}`,
    );
  }

  /** Ends all processes; deletes their logs unless they are kept. */
  async stop(): Promise<void> {
    this.#isOver = true;
    await Promise.all(this.#vms.map((vm) => vm.close()));
    for (const relay of this.#relays) relay.stop();
    for (const target of this.#listAllTargets()) target.stop();
    this.#store.stop();
    if (!this.#keepsLogs) rmSync(this.#folder, { recursive: true });
  }

  #now(): Millis {
    return performance.now() - this.#startedAt;
  }

  #computeScarcePrepaid(): number {
    return SCARCE_PREPAID + this.#topUps * PREPAID_TOP_UP;
  }

  /** Changes the configuration again and again until the run is over. */
  async #runOperator(): Promise<void> {
    while (!this.#isOver) {
      await this.#storeConfiguration();
      await sleep(CONFIGURATION_INTERVAL);
    }
  }

  /**
   * Stores the next configuration as soon as the store is there. Each one adds a
   * key for every customer and drops the oldest, adds a route, and moves the one
   * that was added before to another service.
   */
  async #storeConfiguration(): Promise<void> {
    while (this.#store.isAway) await sleep(AWAY_POLL_INTERVAL);
    const version = ++this.#configurationVersion;
    const createKeys = (name: string) => [
      `key-${name}`,
      ...listKeyVersions(version).map((each) => `key-${name}-${each}`),
    ];
    const safeRoutes = Array.from({ length: version }, (_, index) => ({
      name: `added-${index + 1}`,
      service: findService(version, index + 1)!,
    }));
    this.#store.put(
      "op",
      "config",
      createTrialConfiguration({
        version,
        customers: [
          {
            name: "scarce",
            keys: createKeys("scarce"),
            prepaid: this.#computeScarcePrepaid(),
          },
          { name: "ample", keys: createKeys("ample"), prepaid: AMPLE_PREPAID },
        ],
        safeRoutes,
      }),
    );
    this.#acknowledged.push({ version, at: this.#now() });
  }

  /** Writes the entry of a target with a state to the store's server list. */
  #listTarget(target: TargetServer, state: string): void {
    const entry = target.createEntry(findTargetService(target), state);
    this.#store.put("servers", target.id, entry);
  }

  /** Waits for the start of a fault, injects it and ends it. */
  async #runFault(fault: PlannedFault): Promise<void> {
    await sleep(fault.at);
    const vm = this.#vms[fault.index % this.#vms.length]!;
    const waitDuration = () => sleep(fault.duration);
    switch (fault.kind) {
      case FaultKind.KillVm:
        return await this.#restartVms([vm], {
          signal: "SIGKILL",
          duration: fault.duration,
        });
      case FaultKind.KillAll:
        return await this.#restartVms(this.#vms, {
          signal: "SIGKILL",
          duration: fault.duration,
        });
      case FaultKind.StopVm:
        return await this.#restartVms([vm], {
          signal: "SIGTERM",
          duration: fault.duration,
        });
      case FaultKind.PauseVm:
        vm.signal("SIGSTOP");
        this.#recordInterruption([vm], fault.duration);
        await this.#recordDisruption([vm], { duringDisruption: waitDuration });
        return vm.signal("SIGCONT");
      case FaultKind.CutStore:
        return await this.#withRelayMode([vm], {
          mode: RelayMode.Cut,
          waitDuration,
        });
      case FaultKind.CutAll:
        return await this.#withRelayMode(this.#vms, {
          mode: RelayMode.Cut,
          waitDuration,
        });
      case FaultKind.CutAnswers:
        return await this.#withRelayMode([vm], {
          mode: RelayMode.CutAnswers,
          waitDuration,
        });
      case FaultKind.ResetStore:
        return await this.#recordDisruption([vm], {
          duringDisruption: () =>
            fault.duration < LONG_DURATION
              ? this.#findRelay(vm).resetAll()
              : this.#findRelay(vm).silenceAll(),
        });
      case FaultKind.DelayStore:
        for (const each of this.#relays) each.delay = STORE_DELAY;
        await this.#recordDisruption(this.#vms, {
          duringDisruption: waitDuration,
        });
        for (const each of this.#relays) each.delay = 0;
        return;
      case FaultKind.StoreBusy:
        return await this.#withStoreFault(StoreFault.Busy, waitDuration);
      case FaultKind.StoreAnswersLost:
        return await this.#withStoreFault(StoreFault.AnswersLost, waitDuration);
      case FaultKind.StoreStale:
        return await this.#withStaleReads(waitDuration);
      case FaultKind.StoreForgets:
        return await this.#recordDisruption(this.#vms, {
          effect: DisruptionEffect.Unstable,
          duringDisruption: () => this.#store.forgetHistory(),
        });
      case FaultKind.StoreForgetsStale:
        return await this.#withStaleReads(() => this.#forgetRepeatedly(fault));
      case FaultKind.StoreRestored:
        return await this.#restoreStore(fault, () => sleep(AWAY_TIME));
      case FaultKind.KillInRestore:
        return await this.#restoreStore(
          fault,
          () =>
            this.#restartVms(this.#vms, {
              signal: "SIGKILL",
              duration: AWAY_TIME,
            }),
        );
      case FaultKind.TargetFaults:
        return await this.#withTargetFaults({
          kinds: SOAK_TARGET_FAULTS,
          chance: TARGET_FAULT_CHANCE,
          waitDuration,
        });
      case FaultKind.Release:
        return await this.#replaceTarget(waitDuration);
      case FaultKind.KillInRelease:
        await Promise.all([
          this.#replaceTarget(waitDuration),
          this.#killAllMidway(fault),
        ]);
        return;
      case FaultKind.ReloadSettings:
        return await this.#reloadSettings(fault);
      case FaultKind.TargetLeaves: {
        const target = this.#targets[fault.index % this.#targets.length]!;
        this.#listTarget(target, "draining");
        await waitDuration();
        return this.#listTarget(target, "ready");
      }
      case FaultKind.TargetLimit:
        return await this.#limitTarget(fault);
      case FaultKind.Configuration:
        this.#topUps++;
        return await this.#storeConfiguration();
    }
  }

  /** Records that VMs are disrupted, out of touch by default, meanwhile. */
  async #recordDisruption(
    vms: readonly VmProcess[],
    input: {
      readonly effect?: DisruptionEffect;
      readonly duringDisruption: () => void | Promise<void>;
    },
  ): Promise<void> {
    const { effect = DisruptionEffect.OutOfTouch, duringDisruption } = input;
    const from = this.#now();
    await duringDisruption();
    const names = vms.map(({ name }) => name);
    this.#disruptions.push({ effect, vms: names, from, to: this.#now() });
  }

  /**
   * Copies the store; later lets it go away and come back from the copy. What
   * the operator and the targets wrote is written again, at times later.
   */
  async #restoreStore(
    { duration }: PlannedFault,
    waitAway: () => Promise<void>,
  ): Promise<void> {
    this.#store.copy();
    await sleep(duration);
    this.#store.goAway();
    await this.#recordDisruption(this.#vms, {
      duringDisruption: async () => {
        await waitAway();
        this.#store.restoreCopy();
        if (duration % 2 > 0) await sleep(REWRITE_DELAY);
        this.#store.writeLostRows();
      },
    });
  }

  /** Answers reads from older rows until the wait is over. */
  async #withStaleReads(waitEnd: () => Promise<void>): Promise<void> {
    this.#store.staleBy = STALE_READ_VERSIONS;
    await this.#recordDisruption(this.#vms, {
      effect: DisruptionEffect.Unstable,
      duringDisruption: waitEnd,
    });
    this.#store.staleBy = 0;
  }

  /** Drops the store's history at intervals for the duration of a fault. */
  async #forgetRepeatedly({ duration }: PlannedFault): Promise<void> {
    const end = this.#now() + duration;
    while (this.#now() < end) {
      this.#store.forgetHistory();
      await sleep(FORGET_INTERVAL);
    }
  }

  #findRelay(vm: VmProcess): Relay {
    return this.#relays[this.#vms.indexOf(vm)]!;
  }

  /** Kills and restarts all VMs in the middle of a fault. */
  async #killAllMidway({ duration }: PlannedFault): Promise<void> {
    await sleep(duration / 2);
    await this.#restartVms(this.#vms, {
      signal: "SIGKILL",
      duration: RESTART_DELAY,
    });
  }

  /**
   * Changes the settings of a third of the VMs. Some get a signal while their
   * file is half written, the others none.
   */
  async #reloadSettings({ index, duration }: PlannedFault): Promise<void> {
    const count = Math.ceil(this.#vms.length / 3);
    const region = duration % 2 === 0 ? "here" : "there";
    const changed = {
      regions: { "here-a": region },
      retries: { slack: 50 + duration % 10 },
    };
    for (let number = 0; number < count; number++) {
      const vm = this.#vms[(index + number) % this.#vms.length]!;
      vm.writeSettings(changed, { isHalf: true });
      vm.signal("SIGHUP");
      await sleep(RELOAD_DELAY);
      vm.writeSettings(changed);
      if (duration % 3 > 0) vm.signal("SIGHUP");
    }
  }

  /** Lets a target name a limit, and records the requests that it gets. */
  async #limitTarget(fault: PlannedFault): Promise<void> {
    const target = this.#targets[fault.index % this.#targets.length]!;
    if (target.limit !== undefined) return;
    const perSecond = TARGET_LIMITS[fault.duration % TARGET_LIMITS.length]!;
    const before = target.arrivals.length;
    target.limit = String(perSecond);
    await sleep(LIMIT_TIME + fault.duration);
    target.limit = undefined;
    const arrivals = target.arrivals.slice(before).map((
      { id, at, toldAt },
    ) => ({
      // The ids of calls begin with their VM.
      vm: id.split("-")[0]!,
      at: at - this.#startedAt,
      ...(toldAt === undefined ? {} : { toldAt: toldAt - this.#startedAt }),
    }));
    this.#limitedPeriods.push({
      target: target.id,
      perSecond,
      arrivals,
      interruptions: [...this.#interruptions],
    });
  }

  /** Records that VMs are interrupted from now on. */
  #recordInterruption(vms: readonly VmProcess[], duration: Millis): void {
    const from = this.#now();
    for (const { name } of vms) {
      this.#interruptions.push({ vm: name, from, to: from + duration });
    }
  }

  /** Signals VMs, waits until the fault is over, and restarts them. */
  async #restartVms(
    vms: readonly VmProcess[],
    input: {
      readonly signal: NodeJS.Signals;
      readonly duration: Millis;
    },
  ): Promise<void> {
    this.#recordInterruption(vms, input.duration);
    for (const vm of vms) vm.signal(input.signal);
    // Another fault may restart a VM during the wait below, so the exits of the
    // signalled processes are recorded here.
    const exits = vms.map((vm) => vm.waitExit());
    await this.#recordDisruption(vms, {
      duringDisruption: async () => {
        await sleep(input.duration);
        await Promise.all(exits);
        for (const vm of vms) vm.start();
      },
    });
  }

  /** Switches the relays of VMs to a mode for the duration of a fault. */
  async #withRelayMode(
    vms: readonly VmProcess[],
    input: {
      readonly mode: RelayMode;
      readonly waitDuration: () => Promise<void>;
    },
  ): Promise<void> {
    const relays = vms.map((vm) => this.#findRelay(vm));
    for (const relay of relays) relay.mode = input.mode;
    await this.#recordDisruption(vms, { duringDisruption: input.waitDuration });
    for (const relay of relays) relay.mode = RelayMode.Pass;
  }

  /** Sets a fault of the store for the duration of the planned fault. */
  async #withStoreFault(
    fault: StoreFault,
    waitDuration: () => Promise<void>,
  ): Promise<void> {
    this.#store.fault = fault;
    await this.#recordDisruption(this.#vms, { duringDisruption: waitDuration });
    this.#store.fault = StoreFault.None;
  }

  /** Makes some requests fail at the targets for the duration of a fault. */
  async #withTargetFaults(
    input: {
      readonly kinds: readonly TargetFault[];
      readonly chance: number;
      readonly waitDuration: () => Promise<void>;
    },
  ): Promise<void> {
    const { kinds, chance, waitDuration } = input;
    const chooseFault = () =>
      this.#random.drawChance(chance)
        ? this.#random.choose(kinds)
        : TargetFault.None;
    const targets = this.#listAllTargets();
    for (const target of targets) target.chooseFault = chooseFault;
    await waitDuration();
    for (const target of targets) target.chooseFault = () => TargetFault.None;
  }

  /** Lists targets of another release in place of one engine, then it again. */
  async #replaceTarget(waitDuration: () => Promise<void>): Promise<void> {
    const replaced = this.#targets.find((each) => each.id === "llm-1")!;
    for (const target of this.#replacing) this.#listTarget(target, "ready");
    this.#listTarget(replaced, "draining");
    await this.#withTargetFaults({
      kinds: CUT_FAULTS,
      chance: CUT_CHANCE,
      waitDuration,
    });
    for (const target of this.#replacing) this.#listTarget(target, "draining");
    this.#listTarget(replaced, "ready");
  }

  #listAllTargets(): readonly TargetServer[] {
    return [...this.#targets, ...this.#replacing];
  }

  /** Sends calls to a VM one after the other until the run is over. */
  async #runCaller(vm: VmProcess, number: number): Promise<void> {
    const random = this.#random.createBranch(`${vm.name}/${number}`);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this.#isOver) {
      await sleep(random.drawExponential(MEAN_CALL_PAUSE));
      await this.#call(vm, { random, agent });
    }
    agent.destroy();
  }

  /**
   * Sends one random call and records its answer. A stream that breaks off and
   * may be resumed is taken up once, at any VM.
   */
  async #call(
    vm: VmProcess,
    caller: { readonly random: SeededRandom; readonly agent: Agent },
  ): Promise<void> {
    const { random, agent } = caller;
    const kind = random.choose([
      ...["read", "book", "chat", "chat", "brief"],
      ...["added", "added"],
    ]);
    const routeVersion = kind === "added"
      ? Math.max(1, this.#drawVersion(random))
      : undefined;
    const route = routeVersion === undefined ? kind : `added-${routeVersion}`;
    const keyVersion = random.drawChance(STAYING_KEY_CHANCE)
      ? undefined
      : random.drawChance(NEWEST_KEY_CHANCE)
      ? this.#configurationVersion
      : this.#drawVersion(random);
    const customer = random.drawChance(0.7) ? "scarce" : "ample";
    const isPrompt = route === "chat" || route === "brief";
    const promptTokens = isPrompt ? random.drawInteger(20, 600) : 0;
    const call = {
      route,
      customer,
      promptTokens,
      ...(routeVersion === undefined ? {} : { routeVersion }),
      ...(keyVersion === undefined ? {} : { keyVersion }),
    };
    const id = this.#createId(vm, random);
    const answer = await this.#send(vm, { ...call, id, agent });
    const isBroken = answer.events > 0 && !answer.isComplete;
    if (route !== "chat" || !isBroken) return;
    const other = random.choose(this.#vms);
    await this.#send(other, {
      ...call,
      id: this.#createId(other, random),
      takesUp: { id, lastEvent: answer.events },
      releases: answer.releases,
    });
  }

  /** Draws a version of late, or the newest one. */
  #drawVersion(random: SeededRandom): number {
    return this.#configurationVersion - random.drawInteger(0, MAX_VERSION_AGE);
  }

  #createId(vm: VmProcess, random: SeededRandom): string {
    return `${vm.name}-${this.#calls.length}-${random.drawInteger(0, 1e9)}`;
  }

  /** Sends a call to a VM and records the answer. */
  async #send(
    vm: VmProcess,
    call: {
      readonly id: string;
      readonly route: string;
      readonly routeVersion?: number;
      readonly customer: string;
      readonly keyVersion?: number;
      readonly promptTokens: number;
      readonly agent?: Agent;
      readonly takesUp?: BrokenStream;
      /** Releases of the events that earlier calls for the stream brought. */
      readonly releases?: readonly string[];
    },
  ): Promise<GatewayAnswer> {
    const { id, route, customer, promptTokens, agent, takesUp } = call;
    const { routeVersion, keyVersion } = call;
    const sentAt = this.#now();
    const { callerPort, incarnation } = vm;
    const answer = await callGateway({
      id,
      ...(callerPort === undefined ? {} : { port: callerPort }),
      route,
      key: keyVersion === undefined
        ? `key-${customer}`
        : `key-${customer}-${keyVersion}`,
      ...(promptTokens > 0 ? { promptTokens } : {}),
      ...(takesUp === undefined ? {} : { takesUp }),
      timeoutMillis: CALLER_TIMEOUT,
      ...(agent === undefined ? {} : { agent }),
    });
    this.#calls.push({
      id,
      vm: vm.name,
      incarnation,
      route,
      ...(routeVersion === undefined ? {} : { routeVersion }),
      customer,
      ...(keyVersion === undefined ? {} : { keyVersion }),
      newestVersion: this.#configurationVersion,
      isSent: callerPort !== undefined,
      sentAt,
      endedAt: this.#now(),
      status: answer.status,
      isSealed: answer.isSealed,
      isComplete: answer.isComplete,
      isExpectedBody: answer.isTargetsBody,
      hasRetryAfter: answer.retryAfter !== undefined,
      promptTokens,
      outputTokens: answer.outputTokens,
      isTakenUp: takesUp !== undefined,
      releases: [...new Set([...call.releases ?? [], ...answer.releases])],
    });
    return answer;
  }

  /** Returns the recorded calls, each with how often targets ran it. */
  #countRuns(): CallRecord[] {
    const runs = new Map<string, string[]>();
    for (const target of this.#listAllTargets()) {
      for (const { id } of target.seen) {
        runs.set(id, [...runs.get(id) ?? [], findTargetService(target)]);
      }
    }
    return this.#calls.map((call) => {
      const services = runs.get(call.id) ?? [];
      return {
        ...call,
        runs: services.length,
        services: [...new Set(services)],
      };
    });
  }

  /**
   * Returns the planned stops that no other fault can have disturbed.
   *
   * @param offset start of the plan, counted from the start of the run
   */
  #listUndisturbedStops(faults: readonly PlannedFault[], offset: Millis) {
    const stops = faults.filter((fault) => fault.kind === FaultKind.StopVm);
    // Changed settings must not interrupt calls either.
    const disturbing = faults.filter((fault) =>
      fault.kind !== FaultKind.ReloadSettings
    );
    return stops
      .filter((stop) =>
        disturbing.every((other) =>
          other === stop ||
          other.at > stop.at + UNDISTURBED_MARGIN ||
          other.at + other.duration < stop.at - UNDISTURBED_MARGIN
        )
      )
      .map((stop) => ({
        vm: this.#vms[stop.index % this.#vms.length]!.name,
        from: offset + stop.at,
        to: offset + stop.at + UNDISTURBED_MARGIN,
      }));
  }
}

/** Returns the service of a target, with which its id begins. */
function findTargetService({ id }: TargetServer): string {
  return id.split("-")[0]!;
}
