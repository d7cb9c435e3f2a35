/** Ports of the outside systems and the adapters that speak their protocols. */
export type {
  RowCheck,
  RowPage,
  TablePort,
  TableTransaction,
  TransactionAnswer,
} from "./table_port.ts";
export { MAX_TRANSACTION_ROWS } from "./table_port.ts";
export type { ObjectPort } from "./object_port.ts";
export type { ListedVm, VmListPort } from "./vm_list_port.ts";
export { ListedVmState } from "./vm_list_port.ts";
export type {
  ChunkSink,
  StreamChunk,
  TargetCall,
  TargetLoadReport,
  TargetPort,
  TargetResult,
} from "./target_port.ts";
export { AttemptEnd } from "./target_port.ts";
