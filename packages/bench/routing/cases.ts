/**
 * The cases in which routing policies are compared: load as a share of the
 * fleet's capacity, and faults.
 */
import type { Millis } from "../../core/mod.ts";
import type { Wave, WorkloadMix } from "../harness/workload.ts";
import { PALIVOKNIH_MIX, SELAM_MIX } from "../harness/workload.ts";
import {
  type Fleet,
  type FleetSize,
  PALIVOKNIH_FLEET,
  SELAM_FLEET,
} from "./fleet.ts";

/** Workload and fleet size of one organization that runs the router. */
export interface RoutingUser {
  readonly mix: WorkloadMix;
  readonly size: FleetSize;
  /**
   * Highest rate of requests of all kinds that the fleet completes, per second.
   */
  readonly capacity: number;
}

/** The organizations whose workloads are simulated. */
export const USERS: readonly RoutingUser[] = [
  { mix: SELAM_MIX, size: SELAM_FLEET, capacity: 40 },
  { mix: PALIVOKNIH_MIX, size: PALIVOKNIH_FLEET, capacity: 28 },
];

/** The load of one case, relative to the fleet's capacity, and its faults. */
export interface RoutingCase {
  readonly name: string;
  /** Steady arrival rate as a fraction of the capacity. */
  readonly steadyLoad: number;
  /**
   * Waves of arrivals on top of the steady rate; `load` is the rate during the
   * spread of a wave, as a fraction of the capacity.
   */
  readonly waves: readonly {
    readonly start: Millis;
    readonly spread: Millis;
    readonly load: number;
  }[];
  /** Age of the load reports of engines; that of the engine model if absent. */
  readonly reportLag?: Millis;
  /** Whether the case is part of a quick comparison. */
  readonly quick: boolean;
  /** Schedules the faults of the case on the fleet's clock. */
  readonly scheduleFaults?: (fleet: Fleet) => void;
}

/** Duration in which requests arrive. */
export const ARRIVAL_DURATION: Millis = 60_000;

/** Duration after the last arrival, long enough for all requests to end. */
export const DRAIN_DURATION: Millis = 180_000;

const FAULT_START: Millis = 20_000;
const BROWN_OUT_DURATION: Millis = 20_000;
const BROWN_OUT_SPEED = 0.3;

/**
 * A wave that, together with the steady arrivals of its case, offers three
 * times the capacity.
 */
const WAVE = { start: FAULT_START, spread: 20_000, load: 2.7 };

/** All cases, in the order in which they are reported. */
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

/** Converts the waves of a case from fractions of the capacity to requests. */
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
