/** Folds in what targets report: load, leaving, models and cache changes. */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";
import type { TargetLoadReport } from "../../ports/mod.ts";
import type { PrefixDigest } from "../prefix_table.ts";
import type { RoutingState } from "../state.ts";
import type { OwnSample, TargetState } from "../target_state.ts";
import { recordLeavingNotice } from "./apply_leaving.ts";
import { recordProbe } from "./record_probe.ts";

const MOST_SAMPLES = 8;

/** Time in which a change of others' work is half taken in. */
const SMOOTHING_HALF_LIFE: Millis = 5_000;

/** Folds in a target's report. */
export function applyReport(
  state: RoutingState,
  target: TargetId,
  input: {
    readonly report: TargetLoadReport;
    readonly now: MonotonicTime;
    /** Time since the target measured it, where it says so; 0 if absent. */
    readonly age?: Millis;
  },
): RoutingState {
  const { report, now } = input;
  recordProbe(state, target, { answered: true, now });
  const known = state.targets.get(target);
  if (known === undefined) return state;
  const measuredAt = now - (input.age ?? 0);
  if ((known.report?.measuredAt ?? -Infinity) > measuredAt) return state;
  const own = findOwnThen(known, measuredAt);
  const othersNow = Math.max(0, report.running + report.queued - own);
  const sample = { at: now, inFlight: known.inFlight };
  state.targets.put({
    ...known,
    ownSamples: [...known.ownSamples, sample].slice(-MOST_SAMPLES),
    report: {
      running: report.running,
      queued: report.queued,
      models: report.models,
      measuredAt,
      latestOthersInFlight: othersNow,
      othersInFlight: computeSmoothed(known, { othersNow, measuredAt }),
    },
  });
  const word = { leaving: report.leaving, at: measuredAt };
  return recordLeavingNotice(state, target, word);
}

/**
 * Smooths the work of others. A report lags behind own attempts by an unknown
 * time, so a single one says little but noise; what lasts is real.
 */
function computeSmoothed(
  target: TargetState,
  input: { readonly othersNow: number; readonly measuredAt: MonotonicTime },
): number {
  const { othersNow, measuredAt } = input;
  if (target.report === undefined) return othersNow;
  const elapsed = measuredAt - target.report.measuredAt;
  const kept = 0.5 ** (elapsed / SMOOTHING_HALF_LIFE);
  return kept * target.report.othersInFlight + (1 - kept) * othersNow;
}

function findOwnThen(target: TargetState, at: MonotonicTime): number {
  const samples: readonly OwnSample[] = target.ownSamples;
  const before = samples.findLast((sample) => sample.at <= at);
  const after = samples.find((sample) => sample.at > at);
  return (after ?? before ?? target).inFlight;
}

/** What changed in a target's prefix cache. */
export enum CacheChange {
  Stored = "stored",
  Dropped = "dropped",
}

/** One cache event of a model engine. */
export interface CacheEvent {
  /** Rises by one with each event of a target; a jump shows a gap. */
  readonly sequence: number;
  readonly change: CacheChange;
  readonly prefix: PrefixDigest;
}

/**
 * Folds in cache events. After a gap, what was known of the target's cache is
 * doubted, because the drops among the lost events are unknown.
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
