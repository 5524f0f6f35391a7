import { isContentId, isSameContent } from "./request_content.ts";
import type { IBrokenRun } from "./types.ts";

/**
 * Time between two broken runs of an engine from which they count as separate
 * crashes, in milliseconds. Engines may start again under the same identifier.
 */
const SEPARATE_CRASH_MILLISECONDS = 1_000;

/** Crashes with a prompt part from which it is harmful. */
const HARMFUL_CRASHES = 5;

/** Crashes under one request, sent repeatedly, from which it is harmful. */
const HARMFUL_CONTENT_CRASHES = 3;

/**
 * The same while another request was in progress at each of these crashes. The
 * next attempts of both mostly go to different engines.
 */
const AMBIGUOUS_CONTENT_CRASHES = 5;

/**
 * Number of harmful requests that share a prompt part from which the part is
 * their common cause, rather than the requests themselves.
 */
const COMMON_CAUSE_REQUESTS = 2;

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
  /** Other parts of the requests with this part. */
  readonly companions: ReadonlySet<string>;
}

/** Crashes by part, and the number of broken runs they were counted in. */
export interface ICrashStatistics {
  readonly parts: readonly IPartStatistics[];
  readonly brokenRuns: number;
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
  { parts }: ICrashStatistics,
  { isCleared }: Pick<IPartKnowledge, "isCleared">,
): string[] {
  return parts
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
 * none of its requests was answered, although other requests were. The content
 * of a single request counts as the most specific part, and fewer crashes are
 * needed, as refusing it affects no other request.
 *
 * Requests that shared an engine with a harmful one break as well. Therefore a
 * crash that a harmful part explains does not count against other parts, and of
 * parts with the same crashes, the more specific one is chosen: it is in all of
 * the requests that broke, and refusing it affects fewer other requests.
 */
export function findHarmfulParts(
  { parts, brokenRuns }: ICrashStatistics,
  { isCleared, isQuarantined, completedRequests }: IPartKnowledge,
): IPartStatistics[] {
  const causes = parts.filter(({ part }) => isQuarantined(part));
  const harmful: IPartStatistics[] = [];
  const suspects = parts.filter(({ part, crashes }) =>
    crashes.size >= HARMFUL_CONTENT_CRASHES && !isCleared(part) &&
    !isQuarantined(part)
  );
  const explain = () =>
    suspects.map((it) => withoutExplained(it, causes)).sort(byGuilt);
  const considered = new Set<string>();
  let current = explain();
  for (;;) {
    const worst = current.find(({ part }) => !considered.has(part));
    if (!worst || worst.crashes.size < HARMFUL_CONTENT_CRASHES) return harmful;
    considered.add(worst.part);
    const found = isContentId(worst.part)
      ? harmfulContents(worst, current)
      : isHarmfulPart(worst, completedRequests * worst.brokenRuns / brokenRuns)
      ? [worst]
      : [];
    if (found.length === 0) continue;
    harmful.push(...found);
    causes.push(...found);
    current = explain();
  }
}

function isHarmfulPart(
  { crashes }: IPartStatistics,
  expectedCompletions: number,
): boolean {
  return crashes.size >= HARMFUL_CRASHES &&
    expectedCompletions >= EXPECTED_COMPLETIONS;
}

/**
 * The most guilty request content, with others that were in progress at all of
 * its crashes once further attempts have not told them apart.
 */
function harmfulContents(
  worst: IPartStatistics,
  current: readonly IPartStatistics[],
): IPartStatistics[] {
  const rivals = current.filter(({ part, crashes }) =>
    isContentId(part) && !isSameContent(part, worst.part) &&
    [...worst.crashes].every((crash) => crashes.has(crash))
  );
  if (rivals.length === 0) return [worst];
  if (worst.crashes.size < AMBIGUOUS_CONTENT_CRASHES) return [];
  return [worst, ...mostSpecific(rivals)];
}

/** The first of the identifiers of each request. */
function mostSpecific(rivals: readonly IPartStatistics[]): IPartStatistics[] {
  return rivals.filter(({ part }, index) =>
    rivals.findIndex((other) => isSameContent(other.part, part)) === index
  );
}

/** Removes the crashes that known causes explain. */
function withoutExplained(
  candidate: IPartStatistics,
  causes: readonly IPartStatistics[],
): IPartStatistics {
  const harmfulRequests = causes.filter(({ part, companions }) =>
    isContentId(part) && companions.has(candidate.part)
  );
  const isCommonCause = !isContentId(candidate.part) &&
    mostSpecific(harmfulRequests).length >= COMMON_CAUSE_REQUESTS;
  const explaining = isCommonCause
    ? causes.filter((cause) => !harmfulRequests.includes(cause))
    : causes;
  const crashes = [...candidate.crashes].filter((crash) =>
    !explaining.some((cause) => cause.crashes.has(crash))
  );
  return { ...candidate, crashes: new Set(crashes) };
}

function byGuilt(a: IPartStatistics, b: IPartStatistics): number {
  return b.crashes.size - a.crashes.size || b.position - a.position;
}

/** Counts the crashes with each part that occurs in several broken runs. */
export function countCrashes(runs: readonly IBrokenRun[]): ICrashStatistics {
  const occurrences = new Map<string, number>();
  for (const part of runs.flatMap(({ parts }) => parts)) {
    occurrences.set(part, (occurrences.get(part) ?? 0) + 1);
  }
  const ordered = [...runs].sort((a, b) => a.brokenAt - b.brokenAt);
  const lastBreaks = new Map<string, { at: number; crash: number }>();
  const statistics = new Map<string, {
    part: string;
    crashes: Set<string>;
    requests: Set<string>;
    brokenRuns: number;
    position: number;
    companions: Set<string>;
  }>();
  for (const { engine, request, parts, brokenAt } of ordered) {
    const last = lastBreaks.get(engine);
    const isNew = !last || brokenAt - last.at > SEPARATE_CRASH_MILLISECONDS;
    const crash = (last?.crash ?? 0) + (isNew ? 1 : 0);
    lastBreaks.set(engine, { at: brokenAt, crash });
    const repeated = parts.filter((part) => (occurrences.get(part) ?? 0) > 1);
    for (const part of repeated) {
      const of = statistics.get(part) ?? {
        ...{ part, brokenRuns: 0, position: 0 },
        crashes: new Set<string>(),
        requests: new Set<string>(),
        companions: new Set<string>(),
      };
      for (const other of repeated) {
        if (other !== part) of.companions.add(other);
      }
      of.crashes.add(`${engine}/${crash}`);
      of.requests.add(request);
      of.brokenRuns += 1;
      of.position = Math.max(of.position, parts.indexOf(part));
      statistics.set(part, of);
    }
  }
  return { parts: [...statistics.values()], brokenRuns: runs.length };
}
