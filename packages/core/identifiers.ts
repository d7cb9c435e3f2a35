/**
 * Type aliases of identifiers.
 *
 * Most identifiers are short printable strings chosen by an operator, a caller
 * or the platform. The aliases show which identifier a signature expects; the
 * compiler does not tell them apart.
 */

/**
 * Identifies an event with a prepaid budget, such as `march-close`. Source:
 * document.
 */
export type EventId = string;

/**
 * Identifies a customer that may spend the budgets of events. Source: document.
 */
export type CustomerId = string;

/**
 * Identifies a kind of request within an event, such as `booking`. Source:
 * document.
 */
export type KindId = string;

/**
 * Identifies a service: a group of interchangeable targets. Source: document.
 */
export type ServiceId = string;

/** Identifies a target: one replica of a model engine or a plain service. */
export type TargetId = string;

/**
 * Version of the software that a target runs. Versions have no order. Source:
 * the target's entry.
 */
export type ReleaseId = string;

/**
 * Identifies an entry VM. It does not change on a restart. Source: settings.
 */
export type VmId = string;

/** Identifies a region, such as `addis`. Source: settings and document. */
export type RegionId = string;

/** A VM and its region. */
export interface VmWithRegion {
  readonly vm: VmId;
  readonly region?: RegionId | undefined;
}

/** Identifies a data centre within a region. Source: settings and document. */
export type DataCentreId = string;

/** Identifies a team that owns a section of the document. */
export type TeamId = string;

/** Idempotency key of a request, chosen by the caller; unique per customer. */
export type RequestKey = string;

/** Lower-case hexadecimal SHA-256 of a request body. */
export type BodyDigest = string;

/**
 * Identifies one run of the process on a VM, from its start to its end. It is
 * generated at start from the start time and random data, so that a later
 * incarnation compares greater as a string.
 */
export type Incarnation = string;
