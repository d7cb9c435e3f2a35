/** The document of a trial fleet: one event, two customers and two services. */
import type { EngineServer, PlainServiceServer } from "../stand_ins/mod.ts";
import {
  computeKeyHash,
  CUSTOMER_KEY,
  type FleetOptions,
  OTHER_CUSTOMER_KEY,
  TEAM_KEY,
} from "./fleet.ts";

/** Default budget of the trial event, in tokens. */
export const BUDGET_TOKENS = 6_000;

/** Id of the trial event. */
export const EVENT_ID = "tour-arrival";

const PLACE = { region: "addis", dataCentre: "addis-a", capacity: 16 };

/** Returns the text of the document, as JSON. */
export function createTrialDocument(input: {
  readonly engines: readonly EngineServer[];
  readonly services: readonly PlainServiceServer[];
  readonly options: FleetOptions;
}): string {
  const { engines, services, options } = input;
  const progressTimeoutMillis = options.progressTimeoutMillis ?? 2_000;
  const document = {
    teams: { operations: { keyHashes: [computeKeyHash(TEAM_KEY)] } },
    sections: {
      operations: {
        events: {
          [EVENT_ID]: createEvent(options.budgetTokens ?? BUDGET_TOKENS),
        },
        customers: {
          "selam-tours": createCustomer(CUSTOMER_KEY),
          "other-tours": createCustomer(OTHER_CUSTOMER_KEY),
        },
        services: {
          chat: {
            type: "model-engine",
            ...(options.model === undefined ? {} : {
              model: options.model,
              checksFencing: true,
              longestOrderMillis: 1_000,
            }),
            path: "/v1/chat/completions",
            progressTimeoutMillis,
            targets: createTargets("engine", engines),
          },
          booking: {
            type: "plain-service",
            path: "/v1/bookings",
            progressTimeoutMillis,
            targets: createTargets("booking", services),
          },
        },
      },
    },
  };
  return JSON.stringify(document, null, 2);
}

function createTargets(
  name: string,
  servers: readonly { readonly url: string }[],
) {
  return Object.fromEntries(servers.map((server, index) => [
    `${name}-${index + 1}`,
    { url: server.url, ...PLACE },
  ]));
}

function createCustomer(key: string) {
  return {
    keyHashes: [computeKeyHash(key)],
    weight: 1,
    limits: {
      requestsPerSecond: 10_000,
      tokensPerSecond: 100_000_000,
      concurrentRequests: 10_000,
    },
  };
}

function createEvent(budgetTokens: number) {
  const chat = { service: "chat", repeatability: "repeatable" };
  const booking = { service: "booking", priority: "interactive" };
  return {
    budgetTokens,
    lean: "fewer-refusals",
    customers: ["selam-tours"],
    homes: 1,
    kinds: {
      briefing: {
        ...chat,
        priority: "standard",
        maxOutputTokens: 60,
        deadlineMillis: 60_000,
      },
      reply: {
        ...chat,
        priority: "interactive",
        maxOutputTokens: 20,
        deadlineMillis: 10_000,
      },
      marathon: {
        ...chat,
        priority: "bulk",
        maxOutputTokens: 100_000,
        deadlineMillis: 60_000,
      },
      booking: {
        ...booking,
        repeatability: "once",
        flatTokens: 10,
        deadlineMillis: 10_000,
      },
      lookup: {
        ...booking,
        repeatability: "repeatable",
        flatTokens: 1,
        deadlineMillis: 10_000,
      },
    },
  };
}
