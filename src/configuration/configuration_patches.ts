import { createHash } from "node:crypto";
import { invariant } from "../common/mod.ts";
import type {
  AcceptedConfiguration,
  ConfigurationPatch,
  ListChange,
} from "./messages.ts";
import { type Configuration, configurationSchema } from "./schema.ts";

/** Earlier configurations that are kept as bases of patches. */
const MAXIMUM_PATCH_BASES = 4;

type Fields = Record<string, unknown>;

/** Keeps the latest configurations and creates patches between them. */
export class ConfigurationPatches {
  #earlier: AcceptedConfiguration[] = [];
  #current: AcceptedConfiguration | undefined;
  #patches = new Map<number, ConfigurationPatch>();

  /** Adds a newly accepted configuration. */
  add(accepted: AcceptedConfiguration): void {
    if (this.#current) this.#earlier.push(this.#current);
    while (this.#earlier.length > MAXIMUM_PATCH_BASES) this.#earlier.shift();
    this.#current = accepted;
    this.#patches.clear();
  }

  /** Returns the patch from an earlier version to the newest, if it is kept. */
  patchFrom(version: number): ConfigurationPatch | undefined {
    const cached = this.#patches.get(version);
    const earlier = this.#earlier.find((kept) => kept.version === version);
    if (cached || !earlier || !this.#current) return cached;
    const patch = makePatch(earlier, this.#current);
    this.#patches.set(version, patch);
    return patch;
  }
}

/** Creates the patch that turns one accepted configuration into another. */
export function makePatch(
  from: AcceptedConfiguration,
  to: AcceptedConfiguration,
): ConfigurationPatch {
  const { document, ...record } = to;
  const before = from.document as Fields;
  const after = document as Fields;
  const lists: ListChange[] = [];
  const fields: Fields = {};
  for (const field of new Set([...Object.keys(before), ...keysOf(after)])) {
    const old = before[field];
    const next = after[field];
    if (Array.isArray(old) && Array.isArray(next)) {
      const change = listChange(field, old, next);
      if (change) lists.push(change);
    } else if (JSON.stringify(old) !== JSON.stringify(next)) {
      fields[field] = next ?? null;
    }
  }
  const digest = digestOf(document);
  return { from: from.version, record, lists, fields, digest };
}

/**
 * Applies a patch. Returns undefined if the patch is based on another version
 * or the result does not have the expected digest.
 */
export function applyPatch(
  accepted: AcceptedConfiguration,
  patch: ConfigurationPatch,
): AcceptedConfiguration | undefined {
  if (patch.from !== accepted.version) return undefined;
  const document: Fields = { ...accepted.document };
  for (const { field, start, deleteCount, insert } of patch.lists) {
    const list = document[field];
    if (!Array.isArray(list)) return undefined;
    document[field] = list.toSpliced(start, deleteCount, ...insert);
  }
  for (const [field, value] of Object.entries(patch.fields)) {
    if (value === null) delete document[field];
    else document[field] = value;
  }
  const parsed = configurationSchema.safeParse(document);
  if (!parsed.success || digestOf(parsed.data) !== patch.digest) {
    return undefined;
  }
  return { ...patch.record, document: parsed.data };
}

/** Returns the range between the common prefix and suffix of two lists. */
function listChange(
  field: string,
  before: unknown[],
  after: unknown[],
): ListChange | undefined {
  const old = before.map((element) => JSON.stringify(element));
  const next = after.map((element) => JSON.stringify(element));
  const shorter = Math.min(old.length, next.length);
  let start = 0;
  while (start < shorter && old[start] === next[start]) start += 1;
  let end = 0;
  while (end < shorter - start && old.at(-1 - end) === next.at(-1 - end)) {
    end += 1;
  }
  const deleteCount = old.length - start - end;
  const insert = after.slice(start, after.length - end);
  invariant(
    deleteCount >= 0,
    "patch would delete a negative number of elements",
  );
  if (deleteCount === 0 && insert.length === 0) return undefined;
  return { field, start, deleteCount, insert };
}

function keysOf(fields: Fields): string[] {
  return Object.keys(fields).filter((key) => fields[key] !== undefined);
}

function digestOf(document: Configuration): string {
  return createHash("sha256").update(JSON.stringify(document)).digest("hex");
}
