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
import { formatQuoted, type ObjectReader } from "./node_reader.ts";
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
  const type = reader.readWord("type", ServiceType);
  const model = reader.readOptionalText("model");
  return {
    id: options.id,
    type,
    path: readPath(reader, DEFAULT_PATHS[type]),
    ...(model === undefined ? {} : { model }),
    checksRequestKeys: reader.readFlag("checksRequestKeys", false),
    checksFencing: reader.readFlag("checksFencing", false),
    longestOrder: reader.readNumber("longestOrderMillis", {
      least: 0,
      most: MILLIS_PER_HOUR,
      fallback: DEFAULT_LONGEST_ORDER,
    }),
    retryRatio: reader.readNumber("retryRatio", {
      least: 0,
      most: 1,
      fallback: DEFAULT_RETRY_RATIO,
    }),
    progressTimeout: reader.readNumber("progressTimeoutMillis", {
      least: 1,
      most: MILLIS_PER_HOUR,
      fallback: DEFAULT_PROGRESS_TIMEOUT,
    }),
    targets: readTargets(reader, options.id),
  };
}

function readPath(reader: ObjectReader, fallback: string): string {
  const path = reader.readText("path", fallback);
  const offset = reader.findNode("path")?.offset ?? reader.offset;
  if (!/^\/[\x21-\x7e]*$/.test(path)) {
    reader.addFault(InputErrorKind.OutOfRange, offset, {
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
    region: reader.readText("region"),
    dataCentre: reader.readText("dataCentre"),
    capacity: reader.readNumber("capacity", {
      least: 1,
      most: MAX_CAPACITY,
      whole: true,
      fallback: DEFAULT_CAPACITY,
    }),
  };
}

function readUrl(reader: ObjectReader): string {
  const url = reader.readText("url");
  const node = reader.findNode("url");
  if (node?.type === "string" && !isBaseUrl(url)) {
    reader.addFault(InputErrorKind.OutOfRange, node.offset, {
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
