/** Type declarations for the part of js-csp that is used here. */
declare module "js-csp" {
  /** A channel through which processes pass values to each other. */
  export interface Channel<Value> {
    close(): void;
    readonly __value?: Value;
  }

  /**
   * An operation that a process yields; the process resumes with its result.
   */
  export type Instruction = object;

  /** A coroutine that yields instructions and receives their results. */
  // deno-lint-ignore no-explicit-any
  export type Process<Result> = Generator<Instruction, Result, any>;

  interface Csp {
    /** Result of taking from a closed channel. */
    readonly CLOSED: null;
    readonly NO_VALUE: unknown;
    chan<Value>(capacity?: number): Channel<Value>;
    go<Result>(process: () => Process<Result>): Channel<Result>;
    put<Value>(channel: Channel<Value>, value: Value): Instruction;
    take<Value>(channel: Channel<Value>): Instruction;
    alts(
      channels: readonly Channel<unknown>[],
      options?: { readonly priority?: boolean },
    ): Instruction;
    putAsync<Value>(
      channel: Channel<Value>,
      value: Value,
      done?: (accepted: boolean) => void,
    ): void;
    takeAsync<Value>(
      channel: Channel<Value>,
      done: (value: Value | null) => void,
    ): void;
    offer<Value>(channel: Channel<Value>, value: Value): boolean;
    timeout(duration: number): Channel<never>;
  }

  const csp: Csp;
  export default csp;
}
