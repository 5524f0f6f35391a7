import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";

const PREFIX = "content:";

/** Length of each hash, in characters. */
const HASH_CHARACTERS = 20;

/** What a caller sends again when it repeats a request. */
export interface IRequestContent {
  readonly host: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: Buffer;
  /** Headers that do not change with each attempt. */
  readonly headers: readonly (readonly [string, string])[];
}

/**
 * Identifiers that repetitions of a request share: one of its path and body,
 * and a more specific one that includes its headers, and with them the caller.
 * Equal requests of different callers share the first one only.
 */
export function contentIdsOf(content: IRequestContent): string[] {
  const { host, method, path, body, headers } = content;
  const general = createHash("sha1")
    .update(JSON.stringify([host, method, path]))
    .update(body)
    .digest("base64url")
    .slice(0, HASH_CHARACTERS);
  const lines = headers
    .map(([name, value]) => JSON.stringify([name.toLowerCase(), value]))
    .sort();
  const specific = createHash("sha1")
    .update(lines.join("\n"))
    .digest("base64url")
    .slice(0, HASH_CHARACTERS);
  return [`${PREFIX}${general}`, `${PREFIX}${general}:${specific}`];
}

/** Whether a part identifies a whole request, not a part of its prompt. */
export function isContentId(part: string): boolean {
  return part.startsWith(PREFIX);
}

/** Whether two identifiers are of requests with the same path and body. */
export function isSameContent(one: string, other: string): boolean {
  return generalOf(one) === generalOf(other);
}

function generalOf(id: string): string {
  return id.slice(PREFIX.length).split(":")[0] ?? "";
}
