/** The gateway of one entry VM, and the interface of its protocol adapter. */
export type {
  AnswerHead,
  AnswerLimit,
  AttemptHead,
  CallerRequest,
  Dialect,
  EvacuationPort,
  HeaderList,
  ListedTarget,
  LoadReport,
  PromptFacts,
  PromptPart,
  RawHead,
  StoredConfiguration,
} from "./dialect.ts";
export type { GatewayOptions } from "./gateway.ts";
export { Gateway } from "./gateway.ts";
export type { GatewayMetrics } from "./gateway_metrics.ts";
export { createGatewayMetrics, recordStoreCall } from "./gateway_metrics.ts";
