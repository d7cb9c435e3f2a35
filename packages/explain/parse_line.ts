/** Parses log lines in the `key=value` format that the VMs write. */

/** A parsed log line. */
export interface LogLine {
  /** Wall time in milliseconds, by the clock of the VM that wrote it. */
  readonly time: number;
  /** Origin of the line: the last word before it, such as a VM; else the file. */
  readonly source: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

const LINE = /^(.*?)\bts=(\S+) level=\w+ event=(\w+)(.*)$/;
const FIELD = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Parses a log line; returns undefined for any other text. */
export function parseLogLine(
  text: string,
  file: string,
): LogLine | undefined {
  const match = LINE.exec(text);
  if (match === null) return undefined;
  const [, before = "", ts = "", event = "", rest = ""] = match;
  const time = Date.parse(ts);
  if (Number.isNaN(time)) return undefined;
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of rest.matchAll(FIELD)) {
    fields.set(key, parseValue(value));
  }
  const source = before.trim().split(/\s+/).at(-1) || file;
  return { time, source, event, fields };
}

function parseValue(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // The line was truncated within the value; the remaining part is useful.
    return value;
  }
}
