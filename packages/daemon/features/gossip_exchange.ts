/**
 * The gossip that entry VMs exchange: one message with a named part for each
 * feature. A feature registers its part, which creates the data that this VM
 * sends and applies the data that peers send.
 */
import type { JsonValue, Undo, VmId } from "../../core/mod.ts";
import type { PeerGossip } from "../../peer/mod.ts";

/** One feature's part of the gossip. */
export interface GossipPart {
  /** Returns the data to send, or undefined to leave out the part. */
  create(): JsonValue | undefined;
  /**
   * Applies the data that a peer sent. It is only known to be JSON, so the
   * feature must validate it.
   */
  apply(from: VmId, value: JsonValue): void;
}

/** Creates gossip messages from the parts, and applies those of peers to them. */
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

  /** Returns the gossip message to send to a peer. */
  create(): PeerGossip {
    const parts: Record<string, JsonValue> = {};
    for (const [name, part] of this.#parts) {
      const value = part.create();
      if (value !== undefined) parts[name] = value;
    }
    return { from: this.#vm, parts: parts as PeerGossip["parts"] };
  }

  /** Applies the parts of a peer's message; unknown parts are ignored. */
  apply(gossip: PeerGossip): void {
    for (const [name, part] of this.#parts) {
      const value = gossip.parts[name];
      if (value !== undefined) part.apply(gossip.from, value);
    }
  }
}
