/** Where callers connect: from the bytes of a request to the end of its answer. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Reservation } from "../../budget/mod.ts";
import {
  type Bytes,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  RequestOutcome,
} from "../../core/mod.ts";
import {
  type CallerLimits,
  chooseService,
  type RouteConfig,
  type RoutedCustomer,
  type RouteIndex,
} from "../../routes/mod.ts";
import {
  createBadRequest,
  createRefusal,
  LogEvent,
  readRefusalStatus,
} from "../../runtime/mod.ts";
import type { CallerRequest } from "../dialect.ts";
import type { ConfigurationFollower } from "../features/configuration_follower.ts";
import type { CustomerBudgets } from "../features/budgets/customer_budgets.ts";
import type { GatewayContext } from "../gateway_context.ts";
import type { CallEnd, CallRunner } from "./call_runner.ts";
import { CallerExchange } from "./caller_exchange.ts";
import {
  CallProgress,
  computeMostTokens,
  computeSeconds,
  computeUsedTokens,
  type RoutedCall,
} from "./routed_call.ts";
import { isTakenDuringStop, type StopTimes } from "./is_taken_during_stop.ts";

/** Bounds before the first configuration; they only ever become others. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeout: 5_000,
  idleTimeout: 15_000,
};

/** Room for headers above the configured bound, which is checked by itself. */
const HEADER_ROOM: Bytes = 65_536;

/** The answer is sent so long before the caller stops waiting for it. */
const ANSWER_MARGIN: Millis = 20;

/** Time in which the first configuration is likely to arrive. */
const NO_CONFIGURATION_RETRY_AFTER: Millis = 500;

/** Time to come back in where another VM takes a request at once. */
const OTHER_VM_RETRY_AFTER: Millis = 100;

/** Patience of callers that state none and whose route states none. */
const USUAL_PATIENCE: Millis = 60_000;

/** Tokens of one event where the service doesn't say. */
const USUAL_TOKENS_PER_EVENT = 1;

/** What the face needs. */
export interface CallerFaceOptions {
  readonly context: GatewayContext;
  readonly configuration: ConfigurationFollower;
  readonly budgets: CustomerBudgets;
  readonly runner: CallRunner;
}

/** A request that was refused, with the status that its caller got. */
interface RefusedCall {
  readonly refusal: Refusal;
}

/** Serves callers. */
export class CallerFace {
  readonly #options: CallerFaceOptions;
  readonly #server: Server;
  #limits = FIRST_LIMITS;
  #open = 0;
  #lastConnection: MonotonicTime = -Infinity;
  /** Present from the stop signal on. */
  #stop: StopTimes | undefined;

  constructor(options: CallerFaceOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: HEADER_ROOM,
      // Slow bodies are answered in the gateway's own words.
      requestTimeout: 0,
      keepAliveTimeout: FIRST_LIMITS.idleTimeout,
      headersTimeout: FIRST_LIMITS.headerTimeout,
    }, (incoming, outgoing) => void this.#serve(incoming, outgoing));
    this.#server.on("connection", () => {
      this.#lastConnection = options.context.clock.readMonotonic();
    });
  }

  /** When a caller last connected; -Infinity before the first. */
  get lastConnection(): MonotonicTime {
    return this.#lastConnection;
  }

  /** Requests in progress. */
  get open(): number {
    return this.#open;
  }

  /** Starts to listen; rejects when the address can't be had. */
  listen(
    input: { readonly host: string; readonly port: number },
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(input.port, input.host, 1_024, resolve);
    });
  }

  /** Returns the port that is listened on. */
  readPort(): number {
    const address = this.#server.address();
    return typeof address === "object" ? address?.port ?? 0 : 0;
  }

  /** Takes over the bounds of a configuration. */
  changeLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeout;
    this.#server.headersTimeout = limits.headerTimeout;
  }

  /** Ends each connection with its next answer, and takes what ends in time. */
  startDrain(stop: StopTimes): void {
    this.#stop = stop;
  }

  /** Takes no new connection and closes those without a request. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes every connection at once. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { context } = this.#options;
    const arrivedAt = context.clock.readMonotonic();
    const exchange = new CallerExchange(incoming, outgoing);
    this.#open++;
    context.metrics.openRequests.inc();
    if (this.#stop !== undefined) exchange.closeAfter();
    try {
      await this.#serveExchange({ incoming, exchange, arrivedAt });
    } catch (error) {
      context.log.error(LogEvent.ProcessFailed, {
        process: "request",
        reason: error instanceof Error ? error.stack : String(error),
      });
      exchange.refuse(
        {
          ...createRefusal(RefusalKind.Internal),
          outcome: RequestOutcome.Unknown,
        },
        { dialect: context.dialect },
      );
    } finally {
      this.#open--;
      context.metrics.openRequests.dec();
    }
  }

  async #serveExchange(
    input: {
      readonly incoming: IncomingMessage;
      readonly exchange: CallerExchange;
      readonly arrivedAt: number;
    },
  ): Promise<void> {
    const { incoming, exchange, arrivedAt } = input;
    const { context, configuration } = this.#options;
    const parsed = context.dialect.parseCallerRequest({
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: incoming.rawHeaders,
    });
    if (parsed.isLeft()) {
      const refusal = createBadRequest(String(parsed.extract()));
      return this.#refuse(exchange, { refusal, arrivedAt });
    }
    const request = parsed.extract() as CallerRequest;
    const routes = configuration.read();
    const admitted = routes === undefined
      ? {
        refusal: createRefusal(RefusalKind.ConfigurationStale, {
          retryAfter: NO_CONFIGURATION_RETRY_AFTER,
        }),
      }
      : admitRequest(request, routes);
    if ("refusal" in admitted) {
      return this.#refuse(exchange, { ...admitted, request, arrivedAt });
    }
    const read = await exchange.readBody({
      maxBytes: this.#limits.maxBodyBytes,
      idle: this.#limits.idleTimeout,
    });
    if (exchange.isGone) return this.#logGone(request, arrivedAt);
    if (read.isLeft()) {
      const refusal = read.extract() as Refusal;
      return this.#refuse(exchange, { refusal, request, arrivedAt });
    }
    const call = this.#createCall({
      exchange,
      request,
      arrivedAt,
      routes: routes!,
      body: read.extract() as Buffer,
      ...admitted,
    });
    if (!this.#isTaken(call)) {
      const refusal = createRefusal(RefusalKind.Draining, {
        retryAfter: OTHER_VM_RETRY_AFTER,
      });
      return this.#refuse(exchange, { refusal, request, arrivedAt });
    }
    await this.#runCall(call);
  }

  #isTaken(call: RoutedCall): boolean {
    if (this.#stop === undefined) return true;
    const now = this.#options.context.clock.readMonotonic();
    return isTakenDuringStop(this.#stop, { now, deadline: call.deadline });
  }

  #createCall(
    input: {
      readonly exchange: CallerExchange;
      readonly request: CallerRequest;
      readonly arrivedAt: number;
      readonly routes: RouteIndex;
      readonly body: Buffer;
      readonly route: RouteConfig;
      readonly customer: RoutedCustomer | undefined;
    },
  ): RoutedCall {
    const { routes, arrivedAt, route, ...rest } = input;
    const { configuration } = routes;
    const service = chooseService(route, this.#options.context.random());
    const patience = Math.min(
      (input.request.timeout ?? USUAL_PATIENCE) - ANSWER_MARGIN,
      route.timeout,
    );
    return {
      ...rest,
      route,
      service,
      arrivedAt,
      deadline: arrivedAt + patience,
      configurationVersion: configuration.version,
      tokensPerEvent: configuration.services.get(service)?.engine
        ?.tokensPerEvent ?? USUAL_TOKENS_PER_EVENT,
    };
  }

  async #runCall(call: RoutedCall): Promise<void> {
    const { budgets, runner } = this.#options;
    const progress = new CallProgress();
    const tokens = computeMostTokens(call.request.prompt);
    const { customer } = call;
    let reservation: Reservation | undefined;
    if (customer?.prepaid !== undefined && tokens > 0) {
      const reserved = await budgets.reserve(customer, {
        requestId: call.request.id,
        tokens,
        deadline: call.deadline,
      });
      if (reserved.isLeft()) {
        const refusal = reserved.extract() as Refusal;
        const { exchange, request, arrivedAt } = call;
        return this.#refuse(exchange, { refusal, request, arrivedAt });
      }
      reservation = reserved.extract() as Reservation;
      this.#options.context.log.info(LogEvent.BudgetReserved, {
        request: call.request.id,
        customer: customer.id,
        tokens,
        ms: Math.round(
          this.#options.context.clock.readMonotonic() - call.arrivedAt,
        ),
      });
    }
    let end: CallEnd | undefined;
    try {
      end = await runner.run(call, progress);
    } finally {
      const used = computeUsedTokens(call, progress);
      if (reservation !== undefined) budgets.settle(reservation, used);
    }
    this.#logEnd(call, { end, progress });
  }

  #refuse(
    exchange: CallerExchange,
    input: RefusedCall & {
      readonly request?: CallerRequest;
      readonly arrivedAt: number;
    },
  ): void {
    const { refusal, request, arrivedAt } = input;
    const { context } = this.#options;
    exchange.refuse(refusal, {
      dialect: context.dialect,
      ...(request === undefined ? {} : { requestId: request.id }),
    });
    context.metrics.refusals.inc({ reason: refusal.kind });
    context.metrics.requests.inc({ outcome: refusal.outcome });
    context.log.info(LogEvent.RequestRefused, {
      request: request?.id,
      path: request?.path,
      reason: refusal.kind,
      status: readRefusalStatus(refusal),
      retry_after_ms: refusal.retryAfter === undefined
        ? undefined
        : Math.round(refusal.retryAfter),
      version: this.#options.configuration.read()?.configuration.version,
      ms: Math.round(context.clock.readMonotonic() - arrivedAt),
    });
  }

  #logGone(request: CallerRequest, arrivedAt: number): void {
    const { log, clock } = this.#options.context;
    log.info(LogEvent.RequestEnded, {
      request: request.id,
      outcome: RequestOutcome.NotRun,
      detail: "the caller left before its request was whole",
      ms: Math.round(clock.readMonotonic() - arrivedAt),
    });
  }

  #logEnd(
    call: RoutedCall,
    input: {
      readonly end: CallEnd | undefined;
      readonly progress: CallProgress;
    },
  ): void {
    const { end, progress } = input;
    const { log, clock, metrics } = this.#options.context;
    const now = clock.readMonotonic();
    const outcome = end?.outcome ?? RequestOutcome.Unknown;
    metrics.requests.inc({ outcome });
    metrics.duration.observe(computeSeconds(call.arrivedAt, now));
    log.info(LogEvent.RequestEnded, {
      request: call.request.id,
      route: call.route.id,
      customer: call.customer?.id,
      version: call.configurationVersion,
      targets: progress.tried.join(","),
      runs: progress.runs,
      tokens: computeUsedTokens(call, progress),
      events: progress.events,
      outcome,
      status: end?.status,
      detail: end?.detail,
      first_ms: progress.firstByteAt === undefined
        ? undefined
        : Math.round(progress.firstByteAt - call.arrivedAt),
      ms: Math.round(now - call.arrivedAt),
    });
  }
}

/** Finds the route and customer of a request, or why it isn't let in. */
function admitRequest(
  request: CallerRequest,
  routes: RouteIndex,
): RefusedCall | {
  readonly route: RouteConfig;
  readonly customer: RoutedCustomer | undefined;
} {
  const route = routes.findRoute(request.host, request.path);
  if (route === undefined) {
    return { refusal: createRefusal(RefusalKind.UnknownRoute) };
  }
  const customer = request.key === undefined
    ? undefined
    : routes.findCustomer(request.key);
  const needsKey = routes.configuration.requiresKeys && !route.anonymous;
  if (needsKey && customer === undefined) {
    return { refusal: createRefusal(RefusalKind.BadKey) };
  }
  return { route, customer };
}
