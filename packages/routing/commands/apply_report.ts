/**
 * Applies what targets report: load, leaving status, loaded models and changes
 * of their prefix caches.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { TargetLoadReport } from "../../ports/mod.ts";
import type { PrefixDigest } from "../prefix_table.ts";
import type { RoutingState } from "../state.ts";
import type { OwnSample, TargetState } from "../target_state.ts";
import { recordLeavingNotice } from "./apply_leaving.ts";
import { recordProbe } from "./record_probe.ts";

/** Samples of this VM's own open attempts that are kept for each target. */
const MAX_SAMPLES = 8;

/** Half-life of the smoothed number of other VMs' attempts in flight. */
const SMOOTHING_HALF_LIFE: Millis = 5_000;

/**
 * Records that a target is reachable. Also applies its report, unless that was
 * measured before the last one applied.
 */
export function applyReport(
  state: RoutingState,
  target: TargetId,
  input: {
    readonly report: TargetLoadReport;
    readonly now: MonotonicTime;
    /** Time since the target measured its load; 0 if absent. */
    readonly age?: Millis;
  },
): RoutingState {
  const { report, now } = input;
  recordProbe(state, target, { answered: true, now });
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const measuredAt = now - (input.age ?? 0);
  if ((known.report?.measuredAt ?? -Infinity) > measuredAt) return state;
  const ownInFlight = findOwnInFlightAt(known, measuredAt);
  const othersNow = Math.max(0, report.running + report.queued - ownInFlight);
  const sample = { at: now, inFlight: known.inFlight };
  state.targets.put({
    ...known,
    ownSamples: [...known.ownSamples, sample].slice(-MAX_SAMPLES),
    report: {
      running: report.running,
      queued: report.queued,
      models: report.models,
      measuredAt,
      latestOthersInFlight: othersNow,
      othersInFlight: computeSmoothedOthers(known, { othersNow, measuredAt }),
    },
  });
  const notice = { leaving: report.leaving, at: measuredAt };
  return recordLeavingNotice(state, target, notice);
}

/**
 * Returns the attempts of other VMs in flight, smoothed exponentially. A report
 * lags behind this VM's own attempts by an unknown time, so the difference in a
 * single report is mostly noise; only a difference that lasts is significant.
 */
function computeSmoothedOthers(
  target: TargetState,
  input: { readonly othersNow: number; readonly measuredAt: MonotonicTime },
): number {
  const { othersNow, measuredAt } = input;
  if (target.report === undefined) return othersNow;
  const elapsed = measuredAt - target.report.measuredAt;
  const oldWeight = 0.5 ** (elapsed / SMOOTHING_HALF_LIFE);
  return oldWeight * target.report.othersInFlight + (1 - oldWeight) * othersNow;
}

/**
 * Returns this VM's open attempts at the time of a measurement: the first sample
 * after it, else the last one before it, else the present number.
 */
function findOwnInFlightAt(target: TargetState, at: MonotonicTime): number {
  const samples: readonly OwnSample[] = target.ownSamples;
  const before = samples.findLast((sample) => sample.at <= at);
  const after = samples.find((sample) => sample.at > at);
  return (after ?? before ?? target).inFlight;
}

/** How an entry of a target's prefix cache changed. */
export enum CacheChange {
  Stored = "stored",
  Dropped = "dropped",
}

/** A change of a model engine's prefix cache, as the engine reports it. */
export interface CacheEvent {
  /** Increases by one with each event of a target; a jump shows lost events. */
  readonly sequence: number;
  readonly change: CacheChange;
  readonly prefix: PrefixDigest;
}

/**
 * Applies cache events; an event that is not newer than the last one is
 * ignored. After a gap in the sequence, the target's cache epoch is increased,
 * which invalidates its older prefix entries: the lost events may have reported
 * that some of them were dropped.
 */
export function applyCacheEvents(
  state: RoutingState,
  target: TargetId,
  events: readonly CacheEvent[],
): RoutingState {
  for (const event of events) applyCacheEvent(state, target, event);
  return state;
}

function applyCacheEvent(
  state: RoutingState,
  id: TargetId,
  event: CacheEvent,
): void {
  const known = state.targets.get(id);
  if (known === undefined) return;
  const last = known.cacheSequence;
  if (last !== undefined && event.sequence <= last) return;
  const gap = last !== undefined && event.sequence > last + 1;
  const cacheEpoch = known.cacheEpoch + (gap ? 1 : 0);
  state.targets.put({ ...known, cacheEpoch, cacheSequence: event.sequence });
  if (event.change === CacheChange.Dropped) {
    state.prefixes.remove(event.prefix, id);
  } else state.prefixes.add(event.prefix, { target: id, epoch: cacheEpoch });
}
