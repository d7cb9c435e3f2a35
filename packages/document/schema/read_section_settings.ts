/** Reads the links, staleness limit and messages of a section. */
import type { Node } from "jsonc-parser";
import {
  InputErrorKind,
  type LinkConfig,
  type Millis,
  MILLIS_PER_HOUR,
  MILLIS_PER_SECOND,
  RefusalKind,
} from "../../core/mod.ts";
import {
  describeNearest,
  formatQuoted,
  type InputErrorList,
  ObjectReader,
} from "./object_reader.ts";

const SECTION_KEYS = [
  "events",
  "customers",
  "services",
  "links",
  "staleAfterMillis",
  "messages",
];
const LINK_KEYS = ["from", "to", "megabitsPerSecond", "oneWayMillis"];

const BYTES_PER_MEGABIT = 125_000;
const MAX_MEGABITS = 1e6;
const MAX_ONE_WAY = 10 * MILLIS_PER_SECOND;
const MAX_MESSAGE_LENGTH = 1_000;

/** The part of a section outside its entries. */
export interface SectionSettings {
  readonly links: readonly LinkConfig[];
  /** Staleness limit of the document; absent when the section sets none. */
  readonly staleAfter?: Millis;
  /** Texts for refused requests, by refusal kind. */
  readonly messages: ReadonlyMap<string, string>;
}

/** Reads a section's skeleton and adds its errors to the list. */
export function readSectionSettings(
  root: ObjectReader,
  errors: InputErrorList,
) {
  root.checkKeys(SECTION_KEYS);
  for (const container of ["events", "customers", "services"]) {
    root.readObject(container, { required: false });
  }
  const links = root.readList("links", { required: false })
    .flatMap((node, index) => readLink(node, `${root.path}.links[${index}]`));
  const messages = readMessages(root);
  const settings: SectionSettings = { links, messages };
  if (root.findNode("staleAfterMillis") === undefined) return settings;
  const staleAfter = root.readNumber("staleAfterMillis", {
    min: MILLIS_PER_SECOND,
    max: 24 * MILLIS_PER_HOUR,
  });
  return { ...settings, staleAfter };

  function readLink(node: Node, path: string): LinkConfig[] {
    if (node.type !== "object") {
      errors.add(InputErrorKind.WrongType, node.offset, {
        message: `${path} is not an object`,
        remedy: 'Give {"from": .., "to": .., "megabitsPerSecond": ..}.',
      });
      return [];
    }
    const link = new ObjectReader(node, path, errors);
    link.checkKeys(LINK_KEYS);
    const megabits = link.readNumber("megabitsPerSecond", {
      min: 0.001,
      max: MAX_MEGABITS,
    });
    return [{
      from: link.readString("from"),
      to: link.readString("to"),
      bytesPerSecond: megabits * BYTES_PER_MEGABIT,
      oneWay: link.readNumber("oneWayMillis", { min: 0, max: MAX_ONE_WAY }),
    }];
  }
}

function readMessages(root: ObjectReader): ReadonlyMap<string, string> {
  const messages = new Map<string, string>();
  const reader = root.readObject("messages", { required: false });
  if (reader === undefined) return messages;
  const kinds: readonly string[] = Object.values(RefusalKind);
  for (const [kind, offset] of reader.listKeys()) {
    const text = reader.readString(kind);
    messages.set(kind, text);
    if (!kinds.includes(kind)) {
      reader.addError(InputErrorKind.UnknownKey, offset, {
        message: `${reader.path} has no refusal kind ${formatQuoted(kind)}`,
        remedy: describeNearest(kind, kinds),
      });
    }
    if (text.length > MAX_MESSAGE_LENGTH) {
      reader.addError(InputErrorKind.OutOfRange, offset, {
        message: `${reader.path}.${kind} has ${text.length} characters`,
        remedy: `Give at most ${MAX_MESSAGE_LENGTH} characters.`,
      });
    }
  }
  return messages;
}
