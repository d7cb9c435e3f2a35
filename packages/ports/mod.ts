/** Ports (interfaces) to external systems and their HTTP adapters. */
export type {
  RowCheck,
  RowPage,
  RowPort,
  ServiceTime,
  TablePort,
  TableTransaction,
  TransactionAnswer,
} from "./table_port.ts";
export { MAX_TRANSACTION_ROWS } from "./table_port.ts";
export type { StoreCall } from "./store_calls.ts";
export { StoreCallKind, StoreCallOutcome } from "./store_calls.ts";
export type { FeedChange, FeedPage, FeedPort, FeedRow } from "./feed_port.ts";
export type { ObjectPort } from "./object_port.ts";
export type { ListedVm, VmListPort } from "./vm_list_port.ts";
export { ListedVmState } from "./vm_list_port.ts";
export type {
  ChunkSink,
  EngineOrder,
  StreamChunk,
  TargetCall,
  TargetLoadReport,
  TargetPort,
  TargetResult,
  TokenUsage,
} from "./target_port.ts";
export { AttemptEnd } from "./target_port.ts";
export {
  checkConnection,
  ConnectionProbe,
  isRefusedConnection,
} from "./probe_connection.ts";
export type {
  HttpAnswer,
  HttpFailure,
  HttpRequest,
  JsonAnswer,
} from "./http_client.ts";
export {
  describeError,
  MAX_ANSWER_BYTES,
  MIN_FINAL_STATUS,
  sendJsonRequest,
  sendRequest,
  startExchange,
} from "./http_client.ts";
export type { HttpServiceOptions } from "./http_platform.ts";
export {
  createPlatformError,
  HttpObjectStore,
  HttpTable,
  HttpVmList,
} from "./http_platform.ts";
export type {
  OperationFacts,
  RunOptions,
  StoreWriterCounts,
  StoreWriterOptions,
} from "./store_writer.ts";
export { MAX_WAITING_OPERATIONS, StoreWriter } from "./store_writer.ts";
export type { TimeoutRange } from "./adaptive_timeout.ts";
export { AdaptiveTimeout } from "./adaptive_timeout.ts";
export type {
  AdaptiveAgentOptions,
  StartConnection,
} from "./adaptive_agent.ts";
export { AdaptiveAgent } from "./adaptive_agent.ts";
export { ConcurrencyLimit } from "./concurrency_limit.ts";
export type {
  ConnectCallback,
  ConnectToTarget,
  TargetAddress,
} from "./connection_pools.ts";
export type { RelayAnswer, RelayRequest } from "./relayed_connection.ts";
export {
  findConnectOutcome,
  findRelay,
  forwardConnections,
  RELAY_STATUS,
  RelayOutcome,
  startRelayedConnection,
} from "./relayed_connection.ts";
export { ConnectionPools, MAX_POOL_AGE } from "./connection_pools.ts";
export { HttpTargets, STREAM_END } from "./http_targets.ts";
