/** Reads the configuration of a service and its targets. */
import {
  InputErrorKind,
  MILLIS_PER_HOUR,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
  type ServiceConfig,
  ServiceType,
  type TargetConfig,
} from "../../core/mod.ts";
import { formatQuoted, type ObjectReader } from "./object_reader.ts";
import { checkIdentifier } from "./read_identifier.ts";

const SERVICE_KEYS = [
  "type",
  "path",
  "model",
  "checksRequestKeys",
  "checksFencing",
  "longestOrderMillis",
  "retryRatio",
  "progressTimeoutMillis",
  "targets",
];
const TARGET_KEYS = ["url", "region", "dataCentre", "capacity"];

const DEFAULT_PATHS: Readonly<Record<ServiceType, string>> = {
  [ServiceType.ModelEngine]: "/v1/chat/completions",
  [ServiceType.PlainService]: "/",
};
const DEFAULT_LONGEST_ORDER = MILLIS_PER_MINUTE;
const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_PROGRESS_TIMEOUT = 30 * MILLIS_PER_SECOND;
const DEFAULT_CAPACITY = 8;
const MAX_CAPACITY = 100_000;

/** Reads the configuration of a service. */
export function readService(
  reader: ObjectReader,
  options: { readonly id: string },
): ServiceConfig {
  reader.checkKeys(SERVICE_KEYS);
  const type = reader.readEnum("type", ServiceType);
  const model = reader.readOptionalString("model");
  return {
    id: options.id,
    type,
    path: readPath(reader, DEFAULT_PATHS[type]),
    ...(model === undefined ? {} : { model }),
    checksRequestKeys: reader.readBoolean("checksRequestKeys", false),
    checksFencing: reader.readBoolean("checksFencing", false),
    longestOrder: reader.readNumber("longestOrderMillis", {
      min: 0,
      max: MILLIS_PER_HOUR,
      fallback: DEFAULT_LONGEST_ORDER,
    }),
    retryRatio: reader.readNumber("retryRatio", {
      min: 0,
      max: 1,
      fallback: DEFAULT_RETRY_RATIO,
    }),
    progressTimeout: reader.readNumber("progressTimeoutMillis", {
      min: 1,
      max: MILLIS_PER_HOUR,
      fallback: DEFAULT_PROGRESS_TIMEOUT,
    }),
    targets: readTargets(reader, options.id),
  };
}

function readPath(reader: ObjectReader, fallback: string): string {
  const path = reader.readString("path", fallback);
  const offset = reader.findNode("path")?.offset ?? reader.offset;
  if (!/^\/[\x21-\x7e]*$/.test(path)) {
    reader.addError(InputErrorKind.OutOfRange, offset, {
      message: `${reader.path}.path is ${formatQuoted(path)}`,
      remedy: "Give a path that begins with a slash and has no spaces.",
    });
  }
  return path;
}

function readTargets(service: ObjectReader, serviceId: string): TargetConfig[] {
  const reader = service.readObject("targets", { required: true });
  if (reader === undefined) return [];
  return [...reader.listKeys()].flatMap(([id, offset]) => {
    checkIdentifier(reader, id, offset);
    const target = reader.readObject(id, { required: true });
    return target === undefined ? [] : [readTarget(target, id, serviceId)];
  });
}

function readTarget(
  reader: ObjectReader,
  id: string,
  service: string,
): TargetConfig {
  reader.checkKeys(TARGET_KEYS);
  return {
    id,
    service,
    url: readUrl(reader),
    region: reader.readString("region"),
    dataCentre: reader.readString("dataCentre"),
    capacity: reader.readNumber("capacity", {
      min: 1,
      max: MAX_CAPACITY,
      integer: true,
      fallback: DEFAULT_CAPACITY,
    }),
  };
}

function readUrl(reader: ObjectReader): string {
  const url = reader.readString("url");
  const node = reader.findNode("url");
  if (node?.type === "string" && !isBaseUrl(url)) {
    reader.addError(InputErrorKind.OutOfRange, node.offset, {
      message: `${reader.path}.url is ${formatQuoted(url)}`,
      remedy: "Give a base URL such as http://10.0.0.5:8000.",
    });
  }
  return url;
}

function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const { protocol, search, hash } = new URL(text);
  return (protocol === "http:" || protocol === "https:") &&
    search === "" && hash === "";
}
