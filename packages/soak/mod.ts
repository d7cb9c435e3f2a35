/** Soak test: runs gateway processes under faults that a seed determines. */
export { formatSoakReport } from "./format_soak_report.ts";
export type { SoakOptions, SoakReport } from "./run_soak.ts";
export { runSoak } from "./run_soak.ts";
