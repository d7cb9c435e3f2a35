/** Types of the part of js-csp that the daemon uses. */
declare module "js-csp" {
  /** A channel of values. */
  export interface Channel<Value> {
    close(): void;
    readonly __value?: Value;
  }

  /** Something a process may yield; the process continues with its result. */
  export type Instruction = object;

  /** A process yields instructions and receives their results. */
  // deno-lint-ignore no-explicit-any
  export type Process<Result> = Generator<Instruction, Result, any>;

  interface Csp {
    /** What a take from a closed channel yields. */
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
