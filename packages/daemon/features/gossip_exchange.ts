/**
 * News that entry VMs exchange with each gossip message. Each feature registers
 * a named part: it creates what this VM sends and applies what peers send.
 */
import type { JsonValue, Undo, VmId } from "../../core/mod.ts";
import type { PeerNews } from "../../peer/mod.ts";

/** One feature's part of the news. */
export interface GossipPart {
  /** Returns what to send; undefined sends nothing. */
  create(): JsonValue | undefined;
  /** Applies what a peer sent, after validating it. */
  apply(from: VmId, value: JsonValue): void;
}

/** Creates this VM's news from the parts, and applies peers' news to them. */
export class GossipExchange {
  readonly #vm: VmId;
  readonly #parts = new Map<string, GossipPart>();

  constructor(vm: VmId) {
    this.#vm = vm;
  }

  /** Registers a feature's part under a name. */
  register(name: string, part: GossipPart): Undo {
    this.#parts.set(name, part);
    return () => void this.#parts.delete(name);
  }

  /** Returns the news to send to a peer. */
  create(): PeerNews {
    const parts: Record<string, JsonValue> = {};
    for (const [name, part] of this.#parts) {
      const value = part.create();
      if (value !== undefined) parts[name] = value;
    }
    return { from: this.#vm, parts: parts as PeerNews["parts"] };
  }

  /** Applies the parts of a peer's news; unknown parts are ignored. */
  apply(gossip: PeerNews): void {
    for (const [name, part] of this.#parts) {
      const value = gossip.parts[name];
      if (value !== undefined) part.apply(gossip.from, value);
    }
  }
}
