/** The gateway of one entry VM as a library, and what its adapter implements. */
export type {
  AnswerHead,
  AttemptHead,
  CallerRequest,
  Dialect,
  HeaderList,
  ListedTarget,
  LoadReport,
  PromptFacts,
  PromptPart,
  RawHead,
} from "./dialect.ts";
export type { GatewayOptions } from "./gateway.ts";
export { Gateway } from "./gateway.ts";
