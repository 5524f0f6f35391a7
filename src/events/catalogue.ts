import { existsSync } from "node:fs";
import { readdir } from "node:fs/promises";
import type { IEventDefinition } from "./types.ts";

/** Numbers reserved for the events of a slice, which is a folder of `src`. */
interface INumberRange {
  readonly slice: string;
  readonly first: number;
  readonly last: number;
}

/** Ranges of event numbers; a slice without a range must define no events. */
export const EVENT_NUMBER_RANGES: readonly INumberRange[] = [
  { slice: "daemon", first: 100, last: 199 },
  { slice: "configuration", first: 200, last: 299 },
  { slice: "rpc", first: 300, last: 399 },
  { slice: "consensus", first: 400, last: 499 },
  { slice: "membership", first: 500, last: 599 },
  { slice: "orders", first: 600, last: 649 },
  { slice: "allotment", first: 650, last: 699 },
  { slice: "entry", first: 700, last: 799 },
  { slice: "dispatch", first: 700, last: 799 },
  { slice: "routing", first: 700, last: 799 },
  { slice: "admission", first: 700, last: 799 },
  { slice: "targets", first: 700, last: 799 },
  { slice: "jobs", first: 800, last: 899 },
  { slice: "operations", first: 900, last: 949 },
  { slice: "explain", first: 950, last: 999 },
  { slice: "burn", first: 950, last: 999 },
  { slice: "metrics", first: 950, last: 999 },
  { slice: "service_routes", first: 1000, last: 1049 },
  { slice: "placement", first: 1050, last: 1099 },
  { slice: "streams", first: 1100, last: 1149 },
  { slice: "bulk", first: 1150, last: 1199 },
  { slice: "retirement", first: 1200, last: 1249 },
  { slice: "edge", first: 1250, last: 1299 },
  { slice: "relaying", first: 1300, last: 1349 },
  { slice: "quarantine", first: 1350, last: 1399 },
];

/** Folder that contains the slices, either `src` or its compiled output. */
const SOURCE_FOLDER = new URL("../", import.meta.url);

/** An event and the slice that defines it. */
export interface ICatalogueEntry {
  readonly slice: string;
  readonly event: IEventDefinition;
}

/** Loads the events of all slices, sorted by number. */
export async function loadCatalogue(): Promise<ICatalogueEntry[]> {
  const entries: ICatalogueEntry[] = [];
  for (const slice of await readdir(SOURCE_FOLDER)) {
    const module = new URL(`${slice}/events.js`, SOURCE_FOLDER);
    if (!existsSync(module)) continue;
    const definitions = Object.values(await import(module.href));
    entries.push(
      ...definitions.filter(isEvent).map((event) => ({ slice, event })),
    );
  }
  return entries.sort((first, second) =>
    first.event.number - second.event.number
  );
}

/** Finds duplicate numbers and names, and numbers outside of their range. */
export function findCatalogueErrors(
  entries: readonly ICatalogueEntry[],
): string[] {
  const errors: string[] = [];
  const numbers = new Set<number>();
  const names = new Set<string>();
  for (const { slice, event } of entries) {
    const { number, name } = event;
    if (numbers.has(number)) errors.push(`number ${number} is used twice`);
    if (names.has(name)) errors.push(`name ${name} is used twice`);
    numbers.add(number);
    names.add(name);
    const range = EVENT_NUMBER_RANGES.find((range) => range.slice === slice);
    const inside = range && number >= range.first && number <= range.last;
    if (!inside) errors.push(`${number} is outside the range of ${slice}`);
  }
  return errors;
}

function isEvent(value: unknown): value is IEventDefinition {
  return typeof value === "object" && value !== null &&
    "number" in value && "help" in value && "fields" in value;
}
