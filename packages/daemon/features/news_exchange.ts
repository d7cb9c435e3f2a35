/**
 * News between entry VMs: features add parts that are sent with each exchange,
 * and take the parts that peers send.
 */
import type { JsonValue, Undo, VmId } from "../../core/mod.ts";
import type { PeerGossip } from "../../peer/mod.ts";

/** One feature's part of the news. */
export interface NewsPart {
  /** Returns what to send; undefined sends nothing. */
  create(): JsonValue | undefined;
  /** Takes what a peer sent; checks it first. */
  apply(from: VmId, value: JsonValue): void;
}

/** Collects and hands out the parts. */
export class NewsExchange {
  readonly #vm: VmId;
  readonly #parts = new Map<string, NewsPart>();

  constructor(vm: VmId) {
    this.#vm = vm;
  }

  /** Registers a feature's part under a name. */
  register(name: string, part: NewsPart): Undo {
    this.#parts.set(name, part);
    return () => void this.#parts.delete(name);
  }

  /** Returns the news to send. */
  create(): PeerGossip {
    const parts: Record<string, JsonValue> = {};
    for (const [name, part] of this.#parts) {
      const value = part.create();
      if (value !== undefined) parts[name] = value;
    }
    return { from: this.#vm, parts: parts as PeerGossip["parts"] };
  }

  /** Takes a peer's news. */
  apply(news: PeerGossip): void {
    for (const [name, part] of this.#parts) {
      const value = news.parts[name];
      if (value !== undefined) part.apply(news.from, value);
    }
  }
}
