/**
 * Sources of the document's rows for a follower: the store, or the memory of a
 * peer.
 */
import { type Either, Right } from "purify-ts";
import type { JsonValue, PlatformError, Row } from "../../core/mod.ts";
import type { DocumentState } from "../document_state.ts";
import { formatChunk, formatSectionVersion } from "../rows/commit_change.ts";
import {
  type ChangeRow,
  formatChangeKey,
  formatChunkKey,
  formatSectionKey,
  formatSectionVersionKey,
  HEAD_KEY,
  SECTION_PREFIX,
} from "../rows/row_schemas.ts";
import type { Chunk } from "../section_state.ts";

/** One page of rows in key order. */
export interface DocumentPage {
  readonly rows: readonly Row[];
  /** Key after which the next page starts; absent on the last page. */
  readonly next?: string;
}

/** Reads the rows of the document; the store port satisfies this interface. */
export interface DocumentReader {
  read(keys: readonly string[]): Promise<Either<PlatformError, readonly Row[]>>;
  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, DocumentPage>>;
}

/**
 * The newest accepted changes, which a VM keeps in memory for its peers; newest
 * last.
 */
export type RecentChanges = readonly ChangeRow[];

/** Maximum number of changes that a VM keeps for its peers. */
export const MAX_RECENT_CHANGES = 100;

/** Appends a change and drops the oldest above the maximum number. */
export function addRecentChange(
  recent: RecentChanges,
  change: ChangeRow,
): RecentChanges {
  return [...recent, change].slice(-MAX_RECENT_CHANGES);
}

/**
 * Serves the rows of a document from memory, so that a peer that cannot reach
 * the store can follow the document in the same way. Receipts and the rows of
 * older changes and section versions are absent.
 */
export class StateReader implements DocumentReader {
  readonly #state: DocumentState;
  readonly #recent: RecentChanges;
  #chunks: Map<string, Chunk> | undefined;

  constructor(state: DocumentState, recent: RecentChanges) {
    this.#state = state;
    this.#recent = recent;
  }

  read(
    keys: readonly string[],
  ): Promise<Either<PlatformError, readonly Row[]>> {
    const rows = keys.flatMap((key) => {
      const value = this.#findValue(key);
      return value === undefined ? [] : [{ key, version: 1, value }];
    });
    return Promise.resolve(Right(rows));
  }

  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ): Promise<Either<PlatformError, DocumentPage>> {
    if (prefix !== SECTION_PREFIX) return Promise.resolve(Right({ rows: [] }));
    const rows = [...this.#state.sections]
      .map(([section, { version }]) => ({
        key: formatSectionKey(section),
        version: 1,
        value: { version },
      }))
      .filter((row) => row.key > (options.after ?? ""))
      .sort((left, right) => left.key < right.key ? -1 : 1);
    const page = rows.slice(0, options.limit);
    const last = page.at(-1);
    const hasNextPage = rows.length > page.length && last !== undefined;
    return Promise.resolve(
      Right(hasNextPage ? { rows: page, next: last.key } : { rows: page }),
    );
  }

  #findValue(key: string): JsonValue | undefined {
    if (key === HEAD_KEY) return this.#formatHead();
    const change = this.#recent
      .find((each) => formatChangeKey(each.version) === key);
    if (change !== undefined) return change as unknown as JsonValue;
    for (const [section, state] of this.#state.sections) {
      if (key === formatSectionVersionKey(section, state.version)) {
        return formatSectionVersion(state);
      }
    }
    const chunk = this.#readChunks().get(key);
    return chunk && formatChunk(chunk);
  }

  #formatHead(): JsonValue | undefined {
    const { version } = this.#state;
    if (version === 0) return undefined;
    return { version, changeId: this.#recent.at(-1)?.changeId ?? "" };
  }

  #readChunks(): ReadonlyMap<string, Chunk> {
    this.#chunks ??= new Map(
      [...this.#state.sections.values()]
        .flatMap((section) => [...section.containers.values()].flat())
        .map((chunk) => [formatChunkKey(chunk.id), chunk]),
    );
    return this.#chunks;
  }
}
