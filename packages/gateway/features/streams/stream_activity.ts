/** When targets have last sent an event of any of this VM's streams. */
import type {
  Millis,
  MonotonicTime,
  ServiceId,
  TargetId,
} from "../../../core/mod.ts";

/** Silence after which a target with streams in progress counts as stalled. */
const STALL_TIME: Millis = 1_000;

interface TargetActivity {
  readonly service: ServiceId;
  /** Streams in progress. */
  open: number;
  /** When an event arrived, or when the first of these streams was sent. */
  lastAt: MonotonicTime;
}

/** Streams in progress by target. */
export class StreamActivity {
  readonly #targets = new Map<TargetId, TargetActivity>();

  /** Records that a stream was sent to a target. */
  recordStart(
    target: TargetId,
    start: { readonly service: ServiceId; readonly now: MonotonicTime },
  ): void {
    const known = this.#targets.get(target);
    if (known !== undefined) known.open++;
    else {
      const { service, now } = start;
      this.#targets.set(target, { service, open: 1, lastAt: now });
    }
  }

  /** Records an event of a stream in progress. */
  recordEvent(target: TargetId, now: MonotonicTime): void {
    const known = this.#targets.get(target);
    if (known !== undefined) known.lastAt = now;
  }

  /** Records that a stream in progress has ended or left its target. */
  recordEnd(target: TargetId): void {
    const known = this.#targets.get(target);
    if (known !== undefined && --known.open === 0) this.#targets.delete(target);
  }

  /**
   * Whether at least half of the other targets of a service that have streams in
   * progress are stalled; false if there is none.
   */
  areOthersStalled(
    target: TargetId,
    input: { readonly service: ServiceId; readonly now: MonotonicTime },
  ): boolean {
    const others = [...this.#targets]
      .filter(([id, { service }]) => id !== target && service === input.service)
      .map(([, activity]) => activity);
    const stalled = others.filter(({ lastAt }) =>
      input.now - lastAt >= STALL_TIME
    );
    return others.length > 0 && 2 * stalled.length >= others.length;
  }
}
