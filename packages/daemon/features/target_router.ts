/** Targets as this VM sees them: choice, open attempts, load reports. */
import type { Either } from "purify-ts";
import {
  combineUndo,
  type CommandType,
  createCommand,
  type Refusal,
  type SliceType,
  type TargetConfig,
  type TargetId,
  type Undo,
} from "../../core/mod.ts";
import {
  applyListedTargets,
  applyReport,
  applyTargets,
  chooseTarget,
  createRoutingState,
  recordAttemptEnd,
  recordAttemptStart,
  type RoutedRequest,
  type RoutingState,
} from "../../routing/mod.ts";
import { AttemptEnd, ListedVmState } from "../../platform/mod.ts";
import { LogEvent } from "../event_log.ts";
import { CONFIGURATION, type NodeContext } from "../node_context.ts";
import { startPeriodic } from "../processes.ts";

const ROUTING: SliceType<RoutingState> = {
  name: "routing",
  createInitial: () => createRoutingState(),
};

type RoutingChange = (state: RoutingState) => RoutingState;

const CHANGE_ROUTING: CommandType<RoutingChange, void> = createCommand(
  "routing.change",
);

/** Longest wait for a load report, in milliseconds. */
const PROBE_TIMEOUT = 1_000;

/** Chooses targets and keeps count of attempts. */
export class TargetRouter {
  readonly #context: NodeContext;

  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Registers the feature's command, dump and periodic work. */
  register(): Undo {
    const { kernel, settings, random, log } = this.#context;
    const { loadReportMillis, vmListMillis } = settings.intervals;
    const reportError = (error: unknown) =>
      log.error(LogEvent.ProcessFailed, {
        process: "router",
        reason: String(error),
      });
    const undoCommand = kernel.registerCommand(
      CHANGE_ROUTING,
      (change, update) => update.write(ROUTING, change(update.read(ROUTING))),
    );
    const reports = startPeriodic({
      interval: loadReportMillis,
      random,
      run: () => this.#readReports(),
      reportError,
    });
    const list = startPeriodic({
      interval: vmListMillis,
      random,
      run: () => this.#readVmList(),
      reportError,
    });
    return combineUndo([
      undoCommand,
      kernel.registerDump("routing", () => this.#describe()),
      reports.stop,
      list.stop,
    ]);
  }

  /** Brings the targets in line with the configuration in force. */
  applyConfiguration(): void {
    const { kernel, clock } = this.#context;
    const configuration = kernel.read(CONFIGURATION);
    const now = clock.readMonotonic();
    this.#change((state) => applyTargets(state, { configuration, now }));
  }

  /** Chooses a target for an attempt. */
  choose(request: RoutedRequest): Either<Refusal, TargetConfig> {
    const { kernel, clock, random } = this.#context;
    const now = clock.readMonotonic();
    return chooseTarget(kernel.read(ROUTING), { request, now, random });
  }

  /** Counts an attempt that starts. */
  startAttempt(target: TargetId): void {
    const now = this.#context.clock.readMonotonic();
    this.#change((state) => recordAttemptStart(state, target, { now }));
  }

  /** Counts an attempt that ended. */
  endAttempt(target: TargetId, end: AttemptEnd): void {
    const now = this.#context.clock.readMonotonic();
    this.#change((state) => recordAttemptEnd(state, target, { now, end }));
  }

  #change(change: RoutingChange): void {
    this.#context.kernel.dispatch(CHANGE_ROUTING, change);
  }

  async #readReports(): Promise<void> {
    const { kernel, targets, clock } = this.#context;
    const services = [...kernel.read(CONFIGURATION).services.values()];
    const all = services.flatMap((service) => service.targets);
    await Promise.all(all.map(async (target) => {
      const report = await targets.probe(target, PROBE_TIMEOUT);
      if (report === undefined) return;
      const now = clock.readMonotonic();
      this.#change((state) => applyReport(state, target.id, { report, now }));
    }));
  }

  async #readVmList(): Promise<void> {
    const { vmList, kernel } = this.#context;
    const listed = (await vmList?.list())?.toMaybe().extract();
    if (listed === undefined) return;
    const leaving = new Set(
      listed.filter((vm) => vm.state === ListedVmState.Leaving)
        .map((vm) => vm.id),
    );
    const services = [...kernel.read(CONFIGURATION).services.values()];
    const ids = services.flatMap((service) => service.targets)
      .map((target) => target.id)
      .filter((id) => leaving.has(id));
    this.#change((state) => applyListedTargets(state, new Set(ids)));
  }

  #describe(): unknown {
    const state = this.#context.kernel.read(ROUTING);
    return state;
  }
}
