/** Simulated traffic of the two users: request kinds, customers and bursts. */
import {
  type Millis,
  type MonotonicTime,
  Priority,
  Repeatability,
  type Tokens,
} from "../../core/mod.ts";
import {
  createWeightedChoice,
  createZipfChoice,
  type SeededRandom,
} from "./random.ts";

/** A request kind of a workload mix. Token counts are lognormal. */
export interface WorkloadKind {
  readonly id: string;
  /** Share of the requests, relative to the other kinds. */
  readonly weight: number;
  readonly priority: Priority;
  readonly repeatability: Repeatability;
  readonly deadline: Millis;
  /**
   * Median of the prompt tokens, without the shared prefix; 0 for plain
   * services.
   */
  readonly promptTokens: Tokens;
  /** Median of the output tokens; 0 for plain services. */
  readonly outputTokens: Tokens;
  readonly maxOutputTokens: Tokens;
  /** Tokens charged for each call in addition to model tokens. */
  readonly flatTokens: Tokens;
  /**
   * Length of the prompt prefix that a customer's requests of this kind share.
   */
  readonly prefixTokens: Tokens;
}

/** The workload of one user: request kinds and customers. */
export interface WorkloadMix {
  readonly name: string;
  readonly kinds: readonly WorkloadKind[];
  readonly customers: number;
  /** Zipf exponent of the customers' shares of the requests. */
  readonly customerSkew: number;
}

/** A request and the time of its arrival. */
export interface Arrival {
  readonly at: MonotonicTime;
  readonly requestKey: string;
  readonly customer: string;
  readonly kind: WorkloadKind;
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  readonly prefix: { readonly id: string; readonly tokens: Tokens };
}

/**
 * A burst of requests in addition to the steady traffic. Arrivals are uniform
 * in the interval of length `spread` from `start`.
 */
export interface Wave {
  readonly start: MonotonicTime;
  readonly spread: Millis;
  readonly requests: number;
}

/** Parameters of the generated traffic. */
export interface TrafficOptions {
  readonly mix: WorkloadMix;
  readonly random: SeededRandom;
  readonly requestsPerSecond: number;
  readonly duration: Millis;
  readonly waves?: readonly Wave[];
}

/** Standard deviations of the logarithms of the token counts. */
const PROMPT_SIGMA = 0.6;
const OUTPUT_SIGMA = 0.5;
const SHORT_DEADLINE: Millis = 10_000;
const LONG_DEADLINE: Millis = 120_000;

/**
 * Workload of Selam Companions. Its bursts occur when a tour group lands and
 * every agent sends requests at once.
 */
export const SELAM_MIX: WorkloadMix = {
  name: "selam",
  customers: 10,
  customerSkew: 1,
  kinds: [
    createModelKind("briefing", 15, [Priority.Standard, 3_000, 900, 2_000]),
    createModelKind("chat-reply", 55, [Priority.Interactive, 500, 120, 400]),
    createModelKind("safety-summary", 15, [Priority.Safety, 700, 150, 400]),
    createCallKind("booking", 15, Repeatability.Once),
  ],
};

/**
 * Workload of Palivoknih. Its bursts occur at the end of a month, when every
 * depot sends requests at once.
 */
export const PALIVOKNIH_MIX: WorkloadMix = {
  name: "palivoknih",
  customers: 10,
  customerSkew: 1,
  kinds: [
    createModelKind("audit-draft", 10, [
      Priority.Standard,
      8_000,
      1_500,
      4_000,
    ]),
    createModelKind("shift-summary", 20, [Priority.Bulk, 1_200, 200, 500]),
    createModelKind("anomaly-flag", 20, [Priority.Bulk, 600, 30, 100]),
    createCallKind("tank-lookup", 30, Repeatability.Repeatable),
    createCallKind("refuel", 20, Repeatability.Once),
  ],
};

/** Generates the arrivals, ordered by time. */
export function createArrivals(options: TrafficOptions): Arrival[] {
  const { mix, random } = options;
  const chooseCustomer = createZipfChoice(mix.customers, mix.customerSkew);
  const chooseKind = createWeightedChoice(mix.kinds, (kind) => kind.weight);
  return listTimes(options).map((at, index) => {
    const kind = chooseKind(random);
    const customer = `${mix.name}-${chooseCustomer(random)}`;
    const prefix = { id: `${customer}/${kind.id}`, tokens: kind.prefixTokens };
    const prompt = random.drawLognormal(kind.promptTokens, PROMPT_SIGMA);
    const output = random.drawLognormal(kind.outputTokens, OUTPUT_SIGMA);
    return {
      at,
      requestKey: `request-${index}`,
      customer,
      kind,
      promptTokens: kind.prefixTokens + Math.ceil(prompt),
      outputTokens: Math.min(kind.maxOutputTokens, Math.ceil(output)),
      prefix,
    };
  });
}

/** Returns arrival times: a Poisson process plus the bursts. */
function listTimes(options: TrafficOptions): MonotonicTime[] {
  const { random, requestsPerSecond, duration, waves = [] } = options;
  const times: MonotonicTime[] = [];
  const mean = 1_000 / requestsPerSecond;
  let at = random.drawExponential(mean);
  while (at < duration) {
    times.push(at);
    at += random.drawExponential(mean);
  }
  for (const wave of waves) {
    for (let count = 0; count < wave.requests; count++) {
      times.push(wave.start + random.uniform() * wave.spread);
    }
  }
  return times.sort((left, right) => left - right);
}

/**
 * `sizes` holds the priority, the median prompt, the median output and the
 * maximum output.
 */
function createModelKind(
  id: string,
  weight: number,
  sizes: readonly [Priority, Tokens, Tokens, Tokens],
): WorkloadKind {
  const [priority, promptTokens, outputTokens, maxOutputTokens] = sizes;
  const urgent = priority === Priority.Safety ||
    priority === Priority.Interactive;
  return {
    ...createCallKind(id, weight, Repeatability.Repeatable),
    priority,
    deadline: urgent ? SHORT_DEADLINE : LONG_DEADLINE,
    promptTokens,
    outputTokens,
    maxOutputTokens,
    flatTokens: 0,
    prefixTokens: Math.ceil(promptTokens / 2),
  };
}

function createCallKind(
  id: string,
  weight: number,
  repeatability: Repeatability,
): WorkloadKind {
  return {
    id,
    weight,
    priority: Priority.Interactive,
    repeatability,
    deadline: SHORT_DEADLINE,
    promptTokens: 0,
    outputTokens: 0,
    maxOutputTokens: 0,
    flatTokens: 10,
    prefixTokens: 0,
  };
}
