/**
 * Folds readings of the evacuations into what a VM knows of them. Readings may
 * come from copies of the store that lag, and from a store that was restored from
 * a copy which lacks the newest rows.
 */
import {
  type DataCentreId,
  type Millis,
  type MonotonicTime,
  readEra,
} from "../../../core/mod.ts";

/** The evacuations that are in effect at a VM. */
export interface KnownEvacuations {
  /** Version of the store that the last applied reading shows. */
  readonly version: number;
  /** Era of the store whose rows last listed each evacuated data centre. */
  readonly eras: ReadonlyMap<DataCentreId, number>;
  /** When a reading first showed the present era, if it followed another. */
  readonly restoredAt: MonotonicTime;
}

/** What is known before the first reading. */
export const NO_EVACUATIONS: KnownEvacuations = {
  version: -Infinity,
  eras: new Map(),
  restoredAt: -Infinity,
};

/**
 * Time for which an evacuation that a restored store doesn't list stays in
 * effect: the operator writes rows again that a restore has lost, at once or
 * later. A VM can't tell a lost row from one that was removed meanwhile.
 */
export const RESTORE_TERM: Millis = 30_000;

/** Returns what is known after a reading; the same object if it is too old. */
export function applyReading(
  known: KnownEvacuations,
  reading: {
    readonly dataCentres: readonly DataCentreId[];
    readonly version: number;
    readonly now: MonotonicTime;
  },
): KnownEvacuations {
  const { dataCentres, version, now } = reading;
  if (version < known.version) return known;
  const era = readEra(version);
  const isRestored = known.version !== -Infinity &&
    era > readEra(known.version);
  const restoredAt = isRestored ? now : known.restoredAt;
  const isTermOver = now - restoredAt >= RESTORE_TERM;
  const kept = [...known.eras]
    .filter(([, listedIn]) => listedIn < era && !isTermOver);
  const listed = dataCentres.map((each) => [each, era] as const);
  return { version, restoredAt, eras: new Map([...kept, ...listed]) };
}
