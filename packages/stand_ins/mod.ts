/** Small fakes of the outside systems, in process and over HTTP. */
export type { MemoryTableOptions, TableCounts } from "./memory_table.ts";
export { CallFault, MemoryTable } from "./memory_table.ts";
