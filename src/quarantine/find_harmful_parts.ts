import type { IBrokenRun } from "./types.ts";

/**
 * Time between two broken runs of an engine from which they count as separate
 * crashes, in milliseconds. Engines may start again under the same identifier.
 */
const SEPARATE_CRASH_MILLISECONDS = 1_000;

/** Crashes with a part from which it is harmful. */
const HARMFUL_CRASHES = 5;

/**
 * Number of requests with a part that must have been answered if the part were
 * as frequent among answered requests as among broken ones. With fewer, an
 * innocent part may have been answered by no one yet.
 */
const EXPECTED_COMPLETIONS = 3;

/** Crashes with a part from which instances are asked about it. */
const SUSPECT_CRASHES = 2;

/** Maximum number of suspects that instances are asked about. */
const MAXIMUM_SUSPECTS = 100;

/** Crashes of engines while they ran requests with a certain prompt part. */
export interface IPartStatistics {
  readonly part: string;
  readonly crashes: ReadonlySet<string>;
  readonly requests: ReadonlySet<string>;
  readonly brokenRuns: number;
  /** Largest position in the prompts; later parts are more specific. */
  readonly position: number;
}

/** What is known about the parts of broken runs. */
export interface IPartKnowledge {
  /** Whether a request with the part was answered of late. */
  readonly isCleared: (part: string) => boolean;
  readonly isQuarantined: (part: string) => boolean;
  /** Number of requests that were answered in the last minute. */
  readonly completedRequests: number;
}

/** Parts that instances are asked about, those with most crashes first. */
export function findSuspects(
  runs: readonly IBrokenRun[],
  { isCleared }: Pick<IPartKnowledge, "isCleared">,
): string[] {
  return countCrashes(runs)
    .filter(({ part, crashes }) =>
      crashes.size >= SUSPECT_CRASHES && !isCleared(part)
    )
    .sort(byGuilt)
    .slice(0, MAXIMUM_SUSPECTS)
    .map(({ part }) => part);
}

/**
 * Finds the parts that crash engines.
 *
 * A part is harmful if many engines crashed while they ran requests with it and
 * none of its requests was answered, although other requests were. Requests
 * that shared an engine with a harmful one break as well. Therefore a crash
 * that a harmful part explains does not count against other parts, and of parts
 * with the same crashes, the more specific one is chosen: it is in all of the
 * requests that broke, and refusing it affects fewer other requests.
 */
export function findHarmfulParts(
  runs: readonly IBrokenRun[],
  { isCleared, isQuarantined, completedRequests }: IPartKnowledge,
): IPartStatistics[] {
  const statistics = countCrashes(runs);
  const explained = new Set(
    statistics.filter(({ part }) => isQuarantined(part))
      .flatMap(({ crashes }) => [...crashes]),
  );
  const harmful: IPartStatistics[] = [];
  let candidates = statistics.filter(({ part }) =>
    !isCleared(part) && !isQuarantined(part)
  );
  for (;;) {
    const [worst, ...others] = candidates
      .map((it) => ({
        ...it,
        crashes: new Set([...it.crashes].filter((id) => !explained.has(id))),
      }))
      .sort(byGuilt);
    if (!worst || worst.crashes.size < HARMFUL_CRASHES) return harmful;
    candidates = others;
    const expected = completedRequests * worst.brokenRuns / runs.length;
    if (expected < EXPECTED_COMPLETIONS) continue;
    harmful.push(worst);
    for (const crash of worst.crashes) explained.add(crash);
  }
}

function byGuilt(a: IPartStatistics, b: IPartStatistics): number {
  return b.crashes.size - a.crashes.size || b.position - a.position;
}

function countCrashes(runs: readonly IBrokenRun[]): IPartStatistics[] {
  const ordered = [...runs].sort((a, b) => a.brokenAt - b.brokenAt);
  const lastBreaks = new Map<string, { at: number; crash: number }>();
  const statistics = new Map<string, {
    part: string;
    crashes: Set<string>;
    requests: Set<string>;
    brokenRuns: number;
    position: number;
  }>();
  for (const { engine, request, parts, brokenAt } of ordered) {
    const last = lastBreaks.get(engine);
    const isNew = !last || brokenAt - last.at > SEPARATE_CRASH_MILLISECONDS;
    const crash = (last?.crash ?? 0) + (isNew ? 1 : 0);
    lastBreaks.set(engine, { at: brokenAt, crash });
    for (const [position, part] of parts.entries()) {
      const of = statistics.get(part) ?? {
        ...{ part, brokenRuns: 0, position: 0 },
        crashes: new Set<string>(),
        requests: new Set<string>(),
      };
      of.crashes.add(`${engine}/${crash}`);
      of.requests.add(request);
      of.brokenRuns += 1;
      of.position = Math.max(of.position, position);
      statistics.set(part, of);
    }
  }
  return [...statistics.values()];
}
