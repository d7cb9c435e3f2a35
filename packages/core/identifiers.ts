/**
 * Names of the things that anvilrail handles.
 *
 * Every identifier is a short printable string chosen by an operator, a caller
 * or the platform. The aliases tell a reader which one a signature expects.
 */

/** Names one prepaid event, such as `march-close`. Source: document. */
export type EventId = string;

/** Names one customer that may draw on events. Source: document. */
export type CustomerId = string;

/** Names one kind of request within an event, such as `booking`. Source: document. */
export type KindId = string;

/** Names a group of interchangeable targets. Source: document. */
export type ServiceId = string;

/** Names one target: a model engine replica or a plain service replica. */
export type TargetId = string;

/** Names one entry VM. It stays the same over restarts. Source: settings. */
export type VmId = string;

/** Names one region, such as `addis`. Source: settings and document. */
export type RegionId = string;

/** Names one data centre within a region. Source: settings and document. */
export type DataCentreId = string;

/** Names one team that owns a section of the document. */
export type TeamId = string;

/** The caller's idempotency key, unique within one customer. */
export type RequestKey = string;

/** Lower-case hexadecimal SHA-256 of a request body. */
export type BodyDigest = string;

/**
 * One life of the process on a VM. It is drawn at random at start and ordered
 * by start time, so that a later life compares greater as a string.
 */
export type Incarnation = string;
