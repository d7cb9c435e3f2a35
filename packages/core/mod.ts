/**
 * Types and functions that all packages share: identifiers, units, enums,
 * errors, rows, configuration, clocks, hashing, an immutable map, and the
 * kernel that features register with.
 */
export type { Clock, ManualClock, RandomSource } from "./clock.ts";
export { createManualClock, createSystemClock } from "./clock.ts";
export type {
  CustomerConfig,
  CustomerLimits,
  EventConfig,
  FleetConfiguration,
  KindConfig,
  LinkConfig,
  ServiceConfig,
  TargetConfig,
  TeamConfig,
} from "./configuration.ts";
export { createEmptyConfiguration } from "./configuration.ts";
export {
  BudgetPreference,
  Priority,
  RefusalKind,
  Repeatability,
  RequestOutcome,
  ServiceType,
  StalePolicy,
} from "./enums.ts";
export type {
  InputError,
  PlatformError,
  Refusal,
  TextPlace,
} from "./errors.ts";
export {
  createNotRunRefusal,
  formatInputError,
  formatPlace,
  InputErrorKind,
  PlatformErrorKind,
} from "./errors.ts";
export type {
  BodyDigest,
  CustomerId,
  DataCentreId,
  EventId,
  Incarnation,
  KindId,
  RegionId,
  ReleaseId,
  RequestKey,
  ServiceId,
  TargetId,
  TeamId,
  VmId,
  VmWithRegion,
} from "./identifiers.ts";
export type {
  CommandHandler,
  CommandType,
  DumpWriter,
  SliceType,
  Undo,
  UpdateContext,
} from "./kernel.ts";
export { combineUndo, createCommand, Kernel } from "./kernel.ts";
export { isReachableAddress } from "./is_reachable_address.ts";
export { computeHash, computeScore, rankMembers } from "./rendezvous.ts";
export { TrieMap } from "./trie_map.ts";
export type {
  JsonValue,
  Row,
  RowDecision,
  RowOperation,
  RowView,
  RowWrite,
} from "./rows.ts";
export type {
  Bytes,
  Millis,
  MonotonicTime,
  StoreTime,
  Tokens,
  WallTime,
} from "./units.ts";
export {
  BYTES_PER_KIB,
  BYTES_PER_MIB,
  computeRatePerSecond,
  MILLIS_PER_HOUR,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
} from "./units.ts";
export {
  createStoreVersion,
  MAX_ERA,
  readEra,
  readStoreNumber,
} from "./store_version.ts";
