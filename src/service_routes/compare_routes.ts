import type { RouteSet } from "./types.ts";

/** A difference between two versions of the routes. */
export interface IRouteDifference {
  /** The entry, such as `route alerts` or `caller dispatch`. */
  readonly entry: string;
  readonly change: "added" | "removed" | "changed";
  /** Field that has changed; absent for whole entries. */
  readonly field?: string;
  readonly before?: string;
  readonly after?: string;
}

type Entry = Readonly<Record<string, unknown>>;

/** Lists what differs between two versions of the routes, by entry. */
export function compareRoutes(
  before: RouteSet,
  after: RouteSet,
): IRouteDifference[] {
  return [
    ...compareEntries("route", byName(before.routes), byName(after.routes)),
    ...compareEntries(
      "service",
      byName(before.services),
      byName(after.services),
    ),
    ...compareEntries("caller", callersOf(before), callersOf(after)),
    ...compareFields("limits", before.limits, after.limits),
  ];
}

function byName(
  entries: readonly { readonly name: string }[],
): Map<string, Entry> {
  return new Map(entries.map((entry) => [entry.name, { ...entry }]));
}

/** Callers with short forms of the hashes of their keys. */
function callersOf({ callers = [] }: RouteSet): Map<string, Entry> {
  return byName(callers.map(({ keyHashes, ...caller }) => ({
    ...caller,
    keys: keyHashes.map((hash) => hash.slice(0, 8)).sort(),
  })));
}

function compareEntries(
  kind: string,
  before: ReadonlyMap<string, Entry>,
  after: ReadonlyMap<string, Entry>,
): IRouteDifference[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name): IRouteDifference[] => {
    const entry = `${kind} ${name}`;
    const [old, current] = [before.get(name), after.get(name)];
    if (!old) return [{ entry, change: "added" }];
    if (!current) return [{ entry, change: "removed" }];
    return compareFields(entry, old, current);
  });
}

function compareFields(
  entry: string,
  before: Entry,
  after: Entry,
): IRouteDifference[] {
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields.flatMap((field): IRouteDifference[] => {
    const [old, current] = [before[field], after[field]].map((value) =>
      value === undefined ? "-" : JSON.stringify(value)
    );
    return old === current
      ? []
      : [{ entry, change: "changed", field, before: old, after: current }];
  });
}
