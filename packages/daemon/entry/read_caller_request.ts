/** Checks a caller's headers and body and builds the request from them. */
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import {
  type CustomerConfig,
  type EventConfig,
  type FleetConfiguration,
  type KindConfig,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  Repeatability,
  type RequestKey,
  ServiceType,
  type Tokens,
} from "../../core/mod.ts";
import { computePromptBound } from "../../request/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createBadRequest, createRefusal } from "../../runtime/mod.ts";

/** Headers that callers use besides `Authorization` and `Idempotency-Key`. */
export const EVENT_HEADER = "x-anvilrail-event";
export const KIND_HEADER = "x-anvilrail-kind";
/** Optional: the key says who calls, and this must not say otherwise. */
export const CUSTOMER_HEADER = "x-anvilrail-customer";
export const DEADLINE_HEADER = "x-anvilrail-deadline-ms";

const MAX_REQUEST_KEY_LENGTH = 200;
const REQUEST_KEY = /^[\x21-\x7e]+$/;

const CHAT_SCHEMA = z.looseObject({
  messages: z.array(z.unknown()).min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1).nullish(),
  stream: z.boolean().nullish(),
});

/** Who sent a request and which event and kind it names. */
export interface CallerHeaders {
  readonly customer: CustomerConfig;
  readonly event: EventConfig;
  readonly kind: KindConfig;
}

/** Finds the customer of a key, or the refusal of a wrong one. */
export function findCustomer(
  configuration: FleetConfiguration,
  headers: IncomingHttpHeaders,
): Either<Refusal, CustomerConfig> {
  const key = /^Bearer (.+)$/.exec(headers.authorization ?? "")?.[1] ?? "";
  const hash = createHash("sha256").update(key).digest("hex");
  const customer = readCustomerIndex(configuration).get(hash);
  const valid = customer?.keyHashes.some((each) => isSameHash(each, hash));
  return customer !== undefined && valid === true
    ? Right(customer)
    : Left(createRefusal(RefusalKind.BadKey));
}

/** Checks the headers before the body is read. */
export function readCallerHeaders(
  configuration: FleetConfiguration,
  headers: IncomingHttpHeaders,
): Either<Refusal, CallerHeaders> {
  return findCustomer(configuration, headers).chain((customer) => {
    const named = readHeader(headers, CUSTOMER_HEADER);
    if (named !== "" && named !== customer.id) {
      return Left(createRefusal(RefusalKind.BadKey));
    }
    const event = configuration.events.get(readHeader(headers, EVENT_HEADER));
    if (event === undefined) {
      return Left(createRefusal(RefusalKind.UnknownEvent));
    }
    if (!event.customers.includes(customer.id)) {
      return Left(createRefusal(RefusalKind.CustomerNotAllowed));
    }
    const kind = event.kinds.get(readHeader(headers, KIND_HEADER));
    if (kind === undefined) return Left(createRefusal(RefusalKind.UnknownKind));
    return Right({ customer, event, kind });
  });
}

/** Builds the request once its body has arrived. */
export function createCallerRequest(
  input: CallerHeaders & {
    readonly configuration: FleetConfiguration;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    readonly now: MonotonicTime;
  },
): Either<Refusal, CallerRequest> {
  const service = input.configuration.services.get(input.kind.service);
  if (service === undefined) {
    return Left(createRefusal(RefusalKind.UnknownKind));
  }
  return readRequestKey(input.headers, input.kind).chain((key) =>
    readDeadline(input.headers, input.kind).chain((wait) =>
      readBody(input.body, { kind: input.kind, type: service.type }).map(
        (content): CallerRequest => ({
          configuration: input.configuration,
          customer: input.customer,
          event: input.event,
          kind: input.kind,
          service,
          ...key,
          ...content,
          receivedBody: input.body,
          digest: createHash("sha256").update(input.body).digest("hex"),
          arrivedAt: input.now,
          deadline: input.now + wait,
        }),
      )
    )
  );
}

type BodyContent = Pick<
  CallerRequest,
  "body" | "stream" | "promptBound" | "outputBound" | "prefixes"
>;

function readBody(
  body: Uint8Array,
  options: { readonly kind: KindConfig; readonly type: ServiceType },
): Either<Refusal, BodyContent> {
  return parseJson(body).chain((value) => {
    if (options.type === ServiceType.PlainService) {
      return Right({
        body,
        stream: false,
        promptBound: 0,
        outputBound: 0,
        prefixes: [],
      });
    }
    const parsed = CHAT_SCHEMA.safeParse(value);
    if (!parsed.success) {
      const reason = z.prettifyError(parsed.error).split("\n").join(" ");
      return Left(createBadRequest(reason));
    }
    return Right(createChatContent(parsed.data, options.kind));
  });
}

/** Rewrites the body so that the engine keeps to the bound and reports usage. */
function createChatContent(
  chat: z.infer<typeof CHAT_SCHEMA>,
  kind: KindConfig,
): BodyContent {
  const asked = chat.max_completion_tokens ?? chat.max_tokens ?? Infinity;
  const outputBound: Tokens = Math.min(asked, kind.maxOutputTokens);
  const { max_completion_tokens: _, ...rest } = chat;
  const text = JSON.stringify({
    ...rest,
    max_tokens: outputBound,
    stream: true,
    stream_options: { include_usage: true },
  });
  return {
    body: Buffer.from(text),
    stream: chat.stream === true,
    promptBound: computePromptBound(
      Buffer.byteLength(text),
      chat.messages.length,
    ),
    outputBound,
    prefixes: computePrefixes(chat.messages),
  };
}

/** Messages whose prefixes are told apart. */
const MAX_PREFIXES = 8;

/** Returns the digest of each beginning of the conversation. */
function computePrefixes(messages: readonly unknown[]): string[] {
  const hash = createHash("sha256");
  return messages.slice(0, MAX_PREFIXES).map((message) => {
    hash.update(JSON.stringify(message));
    return hash.copy().digest("base64url");
  });
}

function parseJson(body: Uint8Array): Either<Refusal, unknown> {
  try {
    return Right(JSON.parse(Buffer.from(body).toString("utf8")));
  } catch (error) {
    return Left(createBadRequest(`its body is not JSON (${String(error)})`));
  }
}

function readRequestKey(
  headers: IncomingHttpHeaders,
  kind: KindConfig,
): Either<Refusal, { requestKey: RequestKey; keyGiven: boolean }> {
  const given = readHeader(headers, "idempotency-key");
  if (given === "") {
    return kind.repeatability === Repeatability.Once
      ? Left(createRefusal(RefusalKind.RequestKeyMissing))
      : Right({ requestKey: randomUUID(), keyGiven: false });
  }
  if (given.length > MAX_REQUEST_KEY_LENGTH || !REQUEST_KEY.test(given)) {
    return Left(createBadRequest(
      `its Idempotency-Key is longer than ${MAX_REQUEST_KEY_LENGTH} characters or has spaces`,
    ));
  }
  return Right({ requestKey: given, keyGiven: true });
}

function readDeadline(
  headers: IncomingHttpHeaders,
  kind: KindConfig,
): Either<Refusal, number> {
  const given = readHeader(headers, DEADLINE_HEADER);
  if (given === "") return Right(kind.deadline);
  const wait = Number(given);
  return Number.isFinite(wait) && wait > 0
    ? Right(wait)
    : Left(createBadRequest(`its ${DEADLINE_HEADER} is not a number above 0`));
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}

/** Customers by key hash; made once for each configuration. */
const CUSTOMER_INDEXES = new WeakMap<
  FleetConfiguration,
  Map<string, CustomerConfig>
>();

function readCustomerIndex(
  configuration: FleetConfiguration,
): Map<string, CustomerConfig> {
  const known = CUSTOMER_INDEXES.get(configuration);
  if (known !== undefined) return known;
  const index = new Map<string, CustomerConfig>();
  for (const customer of configuration.customers.values()) {
    for (const hash of customer.keyHashes) index.set(hash, customer);
  }
  CUSTOMER_INDEXES.set(configuration, index);
  return index;
}

function isSameHash(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length &&
    timingSafeEqual(leftBytes, rightBytes);
}
