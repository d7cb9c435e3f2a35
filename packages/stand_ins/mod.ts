/** Fakes of the systems that the fleet depends on, in process and over HTTP. */
export { DarkAddress } from "./dark_address.ts";
export { MemoryRows } from "./memory_rows.ts";
export type { MemoryTableOptions, TableCounts } from "./memory_table.ts";
export { CallFault, MemoryTable } from "./memory_table.ts";
export type {
  EngineControls,
  EngineCounts,
  EngineOptions,
  EngineOrderRecord,
  EngineServer,
} from "./engine_server.ts";
export { computeAnswerToken, startEngineServer } from "./engine_server.ts";
export type { RunningServer, StandInHandler } from "./http_server.ts";
export { startServer } from "./http_server.ts";
export type { TableServer, VmListServer } from "./platform_servers.ts";
export {
  startObjectServer,
  startTableServer,
  startVmListServer,
} from "./platform_servers.ts";
export type {
  PlainServiceControls,
  PlainServiceOptions,
  PlainServiceServer,
} from "./service_server.ts";
export { startPlainServer } from "./service_server.ts";
