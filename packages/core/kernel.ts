/**
 * Holds the state of a process and dispatches typed commands to the handlers
 * that change it.
 *
 * The kernel does not depend on any feature. A feature registers its command
 * handlers and its part of the state dump, and gets a function that undoes each
 * registration. The state is divided into slices. Each slice is an immutable
 * snapshot that only a command handler may replace.
 */

/** Undoes a registration or stops what a function started. Call it once. */
export type Undo = () => void;

/** The name of a command, with the types of its payload and result. */
export interface CommandType<Payload, Result> {
  readonly name: string;
  /** Carries the types for the type checker; never set at run time. */
  readonly types?: (payload: Payload) => Result;
}

/** The name and the initial snapshot of a slice of the state. */
export interface SliceType<State> {
  readonly name: string;
  /** Returns the snapshot that the slice has before its first write. */
  createInitial(): State;
}

/** Reads and replaces slices. Use it only while the command is handled. */
export interface UpdateContext {
  read<State>(slice: SliceType<State>): State;
  write<State>(slice: SliceType<State>, state: State): void;
}

/** Handles one command and returns its result. */
export type CommandHandler<Payload, Result> = (
  payload: Payload,
  context: UpdateContext,
) => Result;

/** Returns one part of the state dump as data that can be written as JSON. */
export type DumpWriter = () => unknown;

type AnyHandler = CommandHandler<never, unknown>;

/** Returns the type of a command with the given name. */
export function createCommand<Payload, Result>(
  name: string,
): CommandType<Payload, Result> {
  return { name };
}

/**
 * Holds the state of a process in slices and dispatches commands to handlers.
 */
export class Kernel {
  readonly #handlers = new Map<string, AnyHandler>();
  readonly #slices = new Map<string, unknown>();
  readonly #dumpWriters = new Map<string, DumpWriter>();
  #updating = false;
  #closed = false;

  /**
   * Registers the handler of a command; throws if it already has one. The
   * returned function removes the command's current handler.
   */
  registerCommand<Payload, Result>(
    type: CommandType<Payload, Result>,
    handler: CommandHandler<Payload, Result>,
  ): Undo {
    if (this.#handlers.has(type.name)) {
      throw new Error(
        `Command ${type.name} already has a handler. Register it once, or undo the first registration.`,
      );
    }
    this.#handlers.set(type.name, handler as unknown as AnyHandler);
    return () => {
      if (!this.#closed) this.#handlers.delete(type.name);
    };
  }

  /**
   * Registers a part of the state dump under a name, replacing an earlier one.
   * The returned function removes the name's current part.
   */
  registerDump(name: string, writer: DumpWriter): Undo {
    this.#dumpWriters.set(name, writer);
    return () => void this.#dumpWriters.delete(name);
  }

  /**
   * Makes command handlers permanent: undoing their registration has no effect
   * any more. While a process stops, work in progress may still dispatch a
   * command after the feature that handles it was unregistered.
   */
  close(): void {
    this.#closed = true;
  }

  /**
   * Returns the current snapshot of a slice, creating the initial one if
   * needed.
   */
  read<State>(slice: SliceType<State>): State {
    if (!this.#slices.has(slice.name)) {
      this.#slices.set(slice.name, slice.createInitial());
    }
    return this.#slices.get(slice.name) as State;
  }

  /** Returns the state dump: all registered parts by name. */
  readDump(): Record<string, unknown> {
    const dump: Record<string, unknown> = {};
    for (const [name, writer] of this.#dumpWriters) dump[name] = writer();
    return dump;
  }

  /**
   * Runs the handler of a command and returns its result. Throws if the command
   * has no handler or if a handler dispatches another command.
   */
  dispatch<Payload, Result>(
    type: CommandType<Payload, Result>,
    payload: Payload,
  ): Result {
    const handler = this.#handlers.get(type.name);
    if (handler === undefined) {
      throw new Error(
        `Command ${type.name} has no handler. First register the feature that handles it.`,
      );
    }
    if (this.#updating) {
      throw new Error(
        `Command ${type.name} was dispatched by the handler of another command. Return the second command and dispatch it afterwards.`,
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

/** Returns a function that undoes several registrations in reverse order. */
export function combineUndo(undos: readonly Undo[]): Undo {
  return () => {
    for (const undo of [...undos].reverse()) undo();
  };
}
