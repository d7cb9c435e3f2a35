/** What one entry of the document says of another. */

/** What a reference names. */
export enum ReferenceTarget {
  Customer = "customer",
  Service = "service",
}

/** One reference from an event. */
export interface Reference {
  readonly target: ReferenceTarget;
  readonly id: string;
  /** Offset of the reference in the parsed text. */
  readonly offset: number;
  /** Whether the kind bounds generated tokens; given for services. */
  readonly generates?: boolean;
}
