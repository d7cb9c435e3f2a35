/**
 * The store of a replay. Each operation states the fault that its write meets:
 * none, a lost answer, an unavailable store, or a late write, which its sender
 * abandons and which a later step applies by its name.
 */
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { z } from "zod";
import type {
  PlatformError,
  Row,
  RowOperation,
  RowWrite,
} from "../core/mod.ts";
import { PlatformErrorKind } from "../core/mod.ts";

/**
 * Fault of an operation; the input `store/land` applies the write of
 * `late:NAME`.
 */
export const STORE_FAULT_SCHEMA = z.union([
  z.enum(["ok", "answer-lost", "down"]),
  z.templateLiteral(["late:", z.string().min(1)]),
]).default("ok");

/** Fault of an operation on the store. */
export type StoreFault = z.infer<typeof STORE_FAULT_SCHEMA>;

interface LateWrite {
  readonly versions: ReadonlyMap<string, number>;
  readonly writes: readonly RowWrite[];
}

/** Rows with versions, and abandoned writes that may still be applied. */
export class ReplayStore {
  readonly #rows = new Map<string, Row>();
  readonly #lateWrites = new Map<string, LateWrite>();

  /**
   * Decides an operation from the present rows and commits it, or applies the
   * fault.
   */
  run<Result>(
    operation: RowOperation<Result>,
    fault: StoreFault,
  ): Either<PlatformError, Result> {
    if (fault === "down") return Left(createError(PlatformErrorKind.NotDone));
    const view = new Map(
      this.read(operation.keys).map((row) => [row.key, row]),
    );
    const { writes, result } = operation.decide(view);
    const versions = new Map(
      operation.keys.map((key) => [key, this.#readVersion(key)]),
    );
    if (fault.startsWith("late:")) {
      this.#lateWrites.set(fault.slice("late:".length), { versions, writes });
      return Left(createError(PlatformErrorKind.AnswerLost));
    }
    this.#commit(writes);
    if (fault === "answer-lost") {
      return Left(createError(PlatformErrorKind.AnswerLost));
    }
    return Right(result);
  }

  /**
   * Applies an abandoned write if its rows still have the versions that it was
   * decided from; returns whether it was applied.
   */
  applyLateWrite(name: string): boolean {
    const lateWrite = this.#lateWrites.get(name);
    if (lateWrite === undefined) {
      throw new Error(
        `No late write is named ${name}. Create it first with "store": "late:${name}".`,
      );
    }
    this.#lateWrites.delete(name);
    const isApplied = [...lateWrite.versions]
      .every(([key, version]) => this.#readVersion(key) === version);
    if (isApplied) this.#commit(lateWrite.writes);
    return isApplied;
  }

  /** Returns the rows that exist among some keys. */
  read(keys: readonly string[]): Row[] {
    return keys.map((key) => this.#rows.get(key))
      .filter((row) => row !== undefined);
  }

  /** Returns the rows whose key starts with a prefix, in key order. */
  list(prefix: string): Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1);
  }

  #commit(writes: readonly RowWrite[]): void {
    for (const { key, value } of writes) {
      const version = this.#readVersion(key) + 1;
      if (value === undefined) this.#rows.delete(key);
      else {
        const copy = JSON.parse(JSON.stringify(value));
        this.#rows.set(key, { key, version, value: copy });
      }
    }
  }

  #readVersion(key: string): number {
    return this.#rows.get(key)?.version ?? 0;
  }
}

function createError(kind: PlatformErrorKind): PlatformError {
  return {
    kind,
    message: `The store failed with ${kind}.`,
    remedy: "Send the operation to the store again.",
  };
}
