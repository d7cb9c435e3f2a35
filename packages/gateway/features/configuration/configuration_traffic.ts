/**
 * Sums the calls between VMs for the configuration, for a periodic log line. It
 * shows whom a VM asks while its configuration is late, and what a VM sends that
 * others follow.
 */
import type { Bytes, Millis, VmId } from "../../../core/mod.ts";
import type { LogFields } from "../../../runtime/mod.ts";

/** How an answer carried the configuration's row. */
export enum RowForm {
  /** Not at all: the asking VM has it, or the answer carries none. */
  None = "none",
  /** The whole text. */
  Whole = "whole",
  /** What changed since the text that the asking VM has. */
  Difference = "difference",
}

/** An answer that this VM gave to a peer. */
export interface GivenAnswer {
  readonly form: RowForm;
  /** Size of the row as sent; 0 without one. */
  readonly bytes: Bytes;
}

/** A call to a peer that has ended. */
export interface AskedPeer {
  readonly peer: VmId;
  /** Absent if the peer gave no answer of use. */
  readonly answer?: GivenAnswer & {
    /** Time from the end of the peer's wait until the answer was applied. */
    readonly duration: Millis;
    /** Time since the peer's configuration was known to be the newest. */
    readonly age: Millis;
  };
}

function createSums() {
  return {
    given: { answers: 0, whole: 0, differences: 0, bytes: 0 },
    asked: { calls: 0, whole: 0, differences: 0, failures: 0, bytes: 0 },
    slowest: 0,
  };
}

/** The calls since the sums were last taken. */
export class ConfigurationTraffic {
  #sums = createSums();
  #lastAnswer: { readonly peer: VmId; readonly age: Millis } | undefined;

  /** Adds an answer to a peer. */
  recordGiven({ form, bytes }: GivenAnswer): void {
    const { given } = this.#sums;
    given.answers++;
    if (form === RowForm.Whole) given.whole++;
    if (form === RowForm.Difference) given.differences++;
    given.bytes += bytes;
  }

  /** Adds a call to a peer. */
  recordAsked({ peer, answer }: AskedPeer): void {
    const { asked } = this.#sums;
    asked.calls++;
    if (answer === undefined) return void asked.failures++;
    if (answer.form === RowForm.Whole) asked.whole++;
    if (answer.form === RowForm.Difference) asked.differences++;
    asked.bytes += answer.bytes;
    if (answer.form !== RowForm.None) {
      this.#sums.slowest = Math.max(this.#sums.slowest, answer.duration);
    }
    this.#lastAnswer = { peer, age: answer.age };
  }

  /**
   * Returns the sums as log fields and resets them. Returns undefined if no row
   * was sent or received and no call failed.
   */
  take(): LogFields | undefined {
    const { given, asked, slowest } = this.#sums;
    this.#sums = createSums();
    if (given.bytes + asked.bytes + asked.failures === 0) return undefined;
    const last = this.#lastAnswer;
    return {
      given: Object.values(given).join("/"),
      asked: Object.values(asked).join("/"),
      slowest_ms: Math.round(slowest),
      peer: last?.peer,
      peer_age_ms: last === undefined ? undefined : Math.round(last.age),
    };
  }
}
