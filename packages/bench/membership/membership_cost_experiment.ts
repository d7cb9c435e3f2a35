/**
 * Measures the cost of membership for each member, and the time in which the
 * members detect a loss.
 */
import {
  type Millis,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
  type VmId,
} from "../../core/mod.ts";
import { MemberState } from "../../membership/mod.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { formatVm, MemberGroup } from "./member_group.ts";

const SIZES = [8, 24, 48, 96, 190, 380];
const QUICK_SIZES = [8, 24, 96];

/** Time before the measurement, in which the group reaches a steady state. */
const SETTLING_TIME: Millis = 2 * MILLIS_PER_MINUTE;
/** Duration over which the steady traffic is measured. */
const STEADY_TIME: Millis = MILLIS_PER_MINUTE;
const MAX_DETECTION_TIME: Millis = 3 * MILLIS_PER_MINUTE;
const POLL_STEP: Millis = 100;

/** Half of the 2 KB per second that a node may use for control traffic. */
const BYTES_GOAL = 1_024;

/** Half of the 1.3% of a core that a node may use for control work. */
const CORE_PERCENT_GOAL = 0.65;

/**
 * Figures of one group size, in the order of the table's columns. Times are in
 * seconds, traffic and processor time for each member.
 */
interface SizeFigures {
  readonly members: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly corePercent: number;
  /** Time from a crash until the first member suspects it. */
  readonly firstSuspicion: number;
  /** Time from a crash until all members see it as suspect or dead. */
  readonly allSuspect: number;
  /** Time from a crash until all members see it as dead. */
  readonly allDead: number;
  /** Time from an announcement to leave until all members know of it. */
  readonly leavingKnown: number;
  /** Bytes above the steady traffic while a crash is detected. */
  readonly bytesPerLoss: number;
}

/** The experiment that `anvilrail bench` runs. */
export const membershipCostExperiment: Experiment = {
  name: "membership-cost",
  description:
    "Messages, bytes, processor time and detection time of membership by the number of members",
  quick: true,
  run: (options) => Promise.resolve(runSizes(options)),
};

function runSizes(options: ExperimentOptions): ExperimentResult {
  const sizes = options.quick ? QUICK_SIZES : SIZES;
  const rows = sizes.map((members) => {
    options.log(`${members} members`);
    return runSize(members, options.seed);
  });
  const largest = rows.at(-1)!;
  return {
    tables: [{
      name: "membership-cost",
      title: "Cost for each member, and times after an event",
      columns: [
        "members",
        "messages/s",
        "payload bytes/s",
        "% of a core",
        "first suspicion, s",
        "suspected by all, s",
        "dead for all, s",
        "leaving known to all, s",
        "extra payload bytes per loss",
      ],
      rows: rows.map((row) => Object.values(row) as number[]),
    }],
    plots: [{
      name: "membership-bytes",
      title: "Payload of membership for each member",
      xTitle: "members",
      yTitle: "bytes per second",
      logX: true,
      points: rows.map((row) => ({
        series: "steady",
        x: row.members,
        y: row.bytesPerSecond,
      })),
    }],
    goals: [
      createAtMostGoal("payload in calm", {
        bound: BYTES_GOAL,
        unit: "B/s",
        value: largest.bytesPerSecond,
      }),
      createAtMostGoal("processor time in calm", {
        bound: CORE_PERCENT_GOAL,
        unit: "% of a core",
        value: largest.corePercent,
      }),
    ],
    notes: [
      "Bytes are those of the JSON payload sent and received; headers of HTTP come on top.",
      "Processor time is that of the decision functions and of JSON for the sizes, in one process.",
      "Messages arrive at once: the times leave out network delay.",
    ],
  };
}

function runSize(members: number, seed: number): SizeFigures {
  const group = new MemberGroup(seed);
  group.startMembers(members);
  group.runFor(SETTLING_TIME);
  const steady = measureTraffic(group, members, STEADY_TIME);
  const lost = formatVm(Math.floor(members / 2));
  const others = members - 1;
  const before = sumBytes(group, members);
  group.crashMember(lost);
  const detection = measureDetection(group, lost, others);
  const after = sumBytes(group, members);
  const steadyBytes = steady.bytesPerSecond * members *
    detection.duration / MILLIS_PER_SECOND;
  const leaving = formatVm(1);
  group.drainMember(leaving);
  const leavingKnown = measureUntil(
    group,
    () =>
      group.countMembersSeeing(leaving, [MemberState.Leaving]) >= others - 1,
  );
  return {
    members,
    ...steady,
    firstSuspicion: detection.first,
    allSuspect: detection.suspect,
    allDead: detection.dead,
    leavingKnown,
    bytesPerLoss: Math.round((after - before - steadyBytes) / members),
  };
}

function measureTraffic(group: MemberGroup, members: number, span: Millis) {
  const bytes = sumBytes(group, members);
  const messages = sumMessages(group, members);
  const start = process.cpuUsage();
  group.runFor(span);
  const used = process.cpuUsage(start);
  const seconds = span / MILLIS_PER_SECOND;
  const each = (sum: number) => sum / members / seconds;
  const cpuSeconds = (used.user + used.system) / 1e6;
  return {
    messagesPerSecond: round(each(sumMessages(group, members) - messages)),
    bytesPerSecond: round(each(sumBytes(group, members) - bytes)),
    corePercent: round(100 * each(cpuSeconds), 4),
  };
}

function measureDetection(group: MemberGroup, lost: VmId, others: number) {
  const { Suspect, Dead } = MemberState;
  const start = group.clock.readMonotonic();
  const first = measureUntil(
    group,
    () => group.countMembersSeeing(lost, [Suspect, Dead]) > 0,
  );
  const suspect = first +
    measureUntil(
      group,
      () => group.countMembersSeeing(lost, [Suspect, Dead]) >= others,
    );
  const dead = suspect +
    measureUntil(group, () => group.countMembersSeeing(lost, [Dead]) >= others);
  const duration = group.clock.readMonotonic() - start;
  return {
    first: round(first),
    suspect: round(suspect),
    dead: round(dead),
    duration,
  };
}

/**
 * Runs the group until a condition holds, but at most for the maximum detection
 * time, and returns the seconds that passed.
 */
function measureUntil(group: MemberGroup, isReached: () => boolean): number {
  let waited = 0;
  while (!isReached() && waited < MAX_DETECTION_TIME) {
    group.runFor(POLL_STEP);
    waited += POLL_STEP;
  }
  return waited / MILLIS_PER_SECOND;
}

function sumBytes(group: MemberGroup, members: number): number {
  return sumTraffic(group, members, "bytes");
}

function sumMessages(group: MemberGroup, members: number): number {
  return sumTraffic(group, members, "messages");
}

function sumTraffic(
  group: MemberGroup,
  members: number,
  part: "bytes" | "messages",
): number {
  let sum = 0;
  for (let index = 0; index < members; index++) {
    sum += group.readTraffic(formatVm(index))[part];
  }
  return sum;
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}
