/**
 * Establishes one connection to a target: a direct attempt and one over peers run
 * side by side, and the first to succeed is used. What the other shows about the
 * paths is recorded.
 */
import type { Socket } from "node:net";
import type { Millis } from "../../../core/mod.ts";
import {
  type ConnectCallback,
  isRefusedConnection,
  type RelayOutcome,
} from "../../../ports/mod.ts";
import {
  type PathPlan,
  RELAY_DELAY,
  TargetPath,
} from "../../../routing/mod.ts";

/** What became of the attempt over peers. */
enum RelayState {
  None = "none",
  Asked = "asked",
  Failed = "failed",
  Connected = "connected",
}

/** Inputs of one connection, and the listeners of what it shows. */
export interface PathRaceOptions {
  readonly plan: PathPlan;
  /** Maximum time to connect. */
  readonly limit: Millis;
  /** Starts a direct connection. */
  readonly connect: () => Socket;
  readonly done: ConnectCallback;
  readonly askPeers: (
    onSocket: (socket: Socket) => void,
  ) => Promise<RelayOutcome[]>;
  readonly recordDirect: () => void;
  readonly recordRelayed: (isHanging: boolean) => void;
  readonly recordUnreached: () => void;
  /** Whether a refusal is the target's own, by what peers have found. */
  readonly isRefusalProven: (outcomes: readonly RelayOutcome[]) => boolean;
}

/** One connection: a direct attempt and one over peers, the first wins. */
export class PathRace {
  readonly #options: PathRaceOptions;
  #direct: Socket | undefined;
  #directError: Error | undefined;
  #isDirectUp = false;
  #relay = RelayState.None;
  #outcomes: readonly RelayOutcome[] = [];
  #isDone = false;
  #limitTimer: NodeJS.Timeout | undefined;
  #relayTimer: NodeJS.Timeout | undefined;

  constructor(options: PathRaceOptions) {
    this.#options = options;
  }

  start(): void {
    const { plan: { first, relayDelay }, limit } = this.#options;
    this.#limitTimer = setTimeout(
      () => this.#finish(new Error(`could not connect within ${limit} ms`)),
      limit,
    );
    if (first === TargetPath.Relayed) return this.#startRelay();
    this.#startDirect();
    if (relayDelay === undefined) return;
    this.#relayTimer = setTimeout(() => this.#startRelay(), relayDelay);
  }

  #startDirect(): void {
    if (this.#direct !== undefined || this.#isDone) return;
    const socket = this.#options.connect();
    this.#direct = socket;
    socket.on("error", (error) => this.#handleDirectError(error));
    socket.once("connect", () => {
      this.#isDirectUp = true;
      this.#options.recordDirect();
      if (this.#isDone) return void socket.destroy();
      this.#finish(undefined, socket);
    });
  }

  #handleDirectError(error: Error): void {
    if (this.#isDirectUp || this.#directError !== undefined) return;
    this.#directError = error;
    if (this.#relay === RelayState.Connected) {
      return this.#options.recordRelayed(false);
    }
    if (this.#isDone) return;
    if (
      this.#relay === RelayState.None &&
      this.#options.plan.relayDelay !== undefined
    ) {
      return this.#startRelay();
    }
    if (this.#relay !== RelayState.Asked) this.#finish(error);
  }

  #startRelay(): void {
    clearTimeout(this.#relayTimer);
    if (this.#relay !== RelayState.None || this.#isDone) return;
    this.#relay = RelayState.Asked;
    void this.#options.askPeers((socket) => this.#handleRelayed(socket))
      .then((outcomes) => this.#handleRelayEnd(outcomes));
  }

  #handleRelayed(socket: Socket): void {
    this.#relay = RelayState.Connected;
    if (this.#isDone) return void socket.destroy();
    if (this.#directError !== undefined) this.#options.recordRelayed(false);
    else if (this.#direct !== undefined) this.#watchDirect();
    this.#finish(undefined, socket);
  }

  /** Lets the direct attempt show for a moment whether its path works. */
  #watchDirect(): void {
    const direct = this.#direct!;
    const timer = setTimeout(() => {
      if (this.#directError === undefined) this.#options.recordRelayed(true);
      direct.destroy();
    }, RELAY_DELAY);
    direct.once("connect", () => clearTimeout(timer));
    direct.once("error", () => clearTimeout(timer));
  }

  #handleRelayEnd(outcomes: readonly RelayOutcome[]): void {
    this.#outcomes = outcomes;
    if (this.#relay === RelayState.Connected) return;
    this.#relay = RelayState.Failed;
    if (this.#isDone) return;
    if (this.#direct === undefined) return this.#startDirect();
    if (this.#directError !== undefined) this.#finish(this.#directError);
  }

  #finish(error: Error | undefined, socket?: Socket): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#limitTimer);
    clearTimeout(this.#relayTimer);
    if (socket !== undefined) return this.#options.done(null, socket);
    this.#direct?.destroy();
    this.#options.recordUnreached();
    this.#options.done(this.#checkRefusal(error!), undefined as never);
  }

  /** Returns the error to report; a refusal is reported only if it is proven. */
  #checkRefusal(error: Error): Error {
    const isDoubtful = isRefusedConnection(error) &&
      !this.#options.isRefusalProven(this.#outcomes);
    return isDoubtful ? new Error("the connection was refused here") : error;
  }
}
