/** References from events to other entries of the document. */

/** Type of the entry that a reference names. */
export enum ReferencedType {
  Customer = "customer",
  Service = "service",
}

/** One reference from an event or one of its kinds. */
export interface Reference {
  readonly type: ReferencedType;
  readonly id: string;
  /** Offset of the reference in the parsed text. */
  readonly offset: number;
  /** Whether the kind limits output tokens; present for services only. */
  readonly hasOutputLimit?: boolean;
}
