/** The cases in which policies are compared. */
import type { Millis } from "../../core/mod.ts";
import type { Wave, WorkloadMix } from "../harness/workload.ts";
import { PALIVOKNIH_MIX, SELAM_MIX } from "../harness/workload.ts";
import {
  type Fleet,
  type FleetSize,
  PALIVOKNIH_FLEET,
  SELAM_FLEET,
} from "./fleet.ts";

/** One user's mix and fleet. */
export interface RoutingUser {
  readonly mix: WorkloadMix;
  readonly size: FleetSize;
  /** Requests per second, of all kinds, that the fleet completes at most. */
  readonly capacity: number;
}

/** Both users. */
export const USERS: readonly RoutingUser[] = [
  { mix: SELAM_MIX, size: SELAM_FLEET, capacity: 40 },
  { mix: PALIVOKNIH_MIX, size: PALIVOKNIH_FLEET, capacity: 28 },
];

/** Arrivals as parts of the capacity, and what befalls the fleet. */
export interface RoutingCase {
  readonly name: string;
  /** Steady arrivals as a part of the capacity. */
  readonly steadyLoad: number;
  /** Waves besides; `load` is a part of the capacity. */
  readonly waves: readonly {
    readonly start: Millis;
    readonly spread: Millis;
    readonly load: number;
  }[];
  readonly reportLag?: Millis;
  /** Whether a quick comparison runs it. */
  readonly quick: boolean;
  readonly scheduleFaults?: (fleet: Fleet) => void;
}

/** Time in which requests arrive. */
export const ARRIVAL_DURATION: Millis = 60_000;

/** Time after the last arrival in which everything ends. */
export const DRAIN_DURATION: Millis = 180_000;

const FAULT_START: Millis = 20_000;
const BROWN_OUT_DURATION: Millis = 20_000;
const BROWN_OUT_SPEED = 0.3;

/** A wave that brings, with the steady arrivals, three times the capacity. */
const WAVE = { start: FAULT_START, spread: 20_000, load: 2.7 };

/** The cases in the order of the report. */
export const CASES: readonly RoutingCase[] = [
  { name: "calm", steadyLoad: 0.5, waves: [], quick: false },
  { name: "wave", steadyLoad: 0.3, waves: [WAVE], quick: true },
  {
    name: "half lost",
    steadyLoad: 0.5,
    waves: [],
    quick: true,
    scheduleFaults: (fleet) =>
      void fleet.clock.schedule(FAULT_START, () => crashHalf(fleet)),
  },
  {
    name: "late reports",
    steadyLoad: 0.5,
    waves: [10_000, 25_000, 40_000]
      .map((start) => ({ start, spread: 3_000, load: 1 })),
    reportLag: 5_000,
    quick: false,
  },
  {
    name: "brown-out",
    steadyLoad: 0.5,
    waves: [],
    quick: false,
    scheduleFaults: scheduleBrownOut,
  },
];

/** Returns the waves of a case in requests. */
export function listWaves(routingCase: RoutingCase, capacity: number): Wave[] {
  return routingCase.waves.map(({ start, spread, load }) => ({
    start,
    spread,
    requests: Math.round(load * capacity * spread / 1_000),
  }));
}

function crashHalf(fleet: Fleet): void {
  const replicas = [...fleet.replicas.values()];
  replicas.forEach((replica, index) => {
    if (index % 2 === 0) replica.crash();
  });
}

function scheduleBrownOut(fleet: Fleet): void {
  const changeAllSpeeds = (speed: number) => {
    for (const replica of fleet.replicas.values()) replica.changeSpeed(speed);
  };
  fleet.clock.schedule(FAULT_START, () => changeAllSpeeds(BROWN_OUT_SPEED));
  fleet.clock.schedule(
    FAULT_START + BROWN_OUT_DURATION,
    () => changeAllSpeeds(1),
  );
}
