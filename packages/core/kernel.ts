/**
 * The update path of a process: typed commands, dispatched to handlers that
 * features registered.
 *
 * The kernel knows no feature. A feature registers its commands, its part of
 * the state dump and its listeners, and gets back a function that undoes the
 * registration. State is kept in slices of immutable snapshots, which change
 * only inside a command handler.
 */

/** Takes back a registration. Calling it again does nothing. */
export type Undo = () => void;

/** A command's name with the types of its payload and result. */
export interface CommandType<Payload, Result> {
  readonly name: string;
  /** Present only for the type checker. */
  readonly types?: (payload: Payload) => Result;
}

/** Names a slice of the state and gives its first snapshot. */
export interface SliceType<State> {
  readonly name: string;
  createInitial(): State;
}

/** Reads and replaces slices; valid only while its command is handled. */
export interface UpdateContext {
  read<State>(slice: SliceType<State>): State;
  write<State>(slice: SliceType<State>, state: State): void;
}

/** Handles one command inside the update path. */
export type CommandHandler<Payload, Result> = (
  payload: Payload,
  context: UpdateContext,
) => Result;

/** Describes one part of the process's state as plain JSON-like data. */
export type DumpWriter = () => unknown;

type AnyHandler = CommandHandler<never, unknown>;

/** Returns the type of a command. */
export function createCommand<Payload, Result>(
  name: string,
): CommandType<Payload, Result> {
  return { name };
}

/** Holds the slices and dispatches commands. */
export class Kernel {
  readonly #handlers = new Map<string, AnyHandler>();
  readonly #slices = new Map<string, unknown>();
  readonly #dumpWriters = new Map<string, DumpWriter>();
  #updating = false;
  #closed = false;

  /** Registers the one handler of a command. */
  registerCommand<Payload, Result>(
    type: CommandType<Payload, Result>,
    handler: CommandHandler<Payload, Result>,
  ): Undo {
    if (this.#handlers.has(type.name)) {
      throw new Error(
        `Command ${type.name} has a handler already. Register it once, or undo the first registration.`,
      );
    }
    this.#handlers.set(type.name, handler as unknown as AnyHandler);
    return () => {
      if (!this.#closed) this.#handlers.delete(type.name);
    };
  }

  /** Registers a part of the state dump under a name. */
  registerDump(name: string, writer: DumpWriter): Undo {
    this.#dumpWriters.set(name, writer);
    return () => void this.#dumpWriters.delete(name);
  }

  /**
   * Keeps the handlers from then on: work that is under way when a process
   * stops may still dispatch after its feature's registration was undone.
   */
  close(): void {
    this.#closed = true;
  }

  /** Returns the current snapshot of a slice. */
  read<State>(slice: SliceType<State>): State {
    if (!this.#slices.has(slice.name)) {
      this.#slices.set(slice.name, slice.createInitial());
    }
    return this.#slices.get(slice.name) as State;
  }

  /** Returns every registered part of the dump. */
  readDump(): Record<string, unknown> {
    const dump: Record<string, unknown> = {};
    for (const [name, writer] of this.#dumpWriters) dump[name] = writer();
    return dump;
  }

  /** Runs a command's handler and returns its result. Handlers do not nest. */
  dispatch<Payload, Result>(
    type: CommandType<Payload, Result>,
    payload: Payload,
  ): Result {
    const handler = this.#handlers.get(type.name);
    if (handler === undefined) {
      throw new Error(
        `Command ${type.name} has no handler. Register the feature that handles it first.`,
      );
    }
    if (this.#updating) {
      throw new Error(
        `Command ${type.name} was dispatched inside another. Return the follow-up and dispatch it after.`,
      );
    }
    this.#updating = true;
    try {
      return handler(payload as never, this.#createContext()) as Result;
    } finally {
      this.#updating = false;
    }
  }

  #createContext(): UpdateContext {
    return {
      read: (slice) => this.read(slice),
      write: (slice, state) => void this.#slices.set(slice.name, state),
    };
  }
}

/** Returns one function that takes back several registrations, last first. */
export function combineUndo(undos: readonly Undo[]): Undo {
  return () => {
    for (const undo of [...undos].reverse()) undo();
  };
}
