/** Parses one log line back into its fields. */

/** One log line. */
export interface LogLine {
  /** Wall time in milliseconds, by the clock of the VM that wrote it. */
  readonly time: number;
  /** Where it was written: a word before the line, or the file. */
  readonly source: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

const LINE = /^(.*?)\bts=(\S+) level=\w+ event=(\w+)(.*)$/;
const FIELD = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Returns the line, or undefined for text that is none. */
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
    // A line that was cut in the middle of a value still tells something.
    return value;
  }
}
