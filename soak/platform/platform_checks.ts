import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformFleet } from "../../testing/platform_fleet.ts";
import type { TestRandom } from "../../testing/test_random.ts";
import { STEADY_KEY } from "./callers.ts";
import { Client } from "./client.ts";
import { readConfiguration, readJob } from "./loads.ts";
import type {
  ISoakJob,
  IStreamRecord,
  PlatformRecord,
} from "./platform_record.ts";
import {
  type IEngineRun,
  LIMIT,
  possibleStreams,
  possibleTexts,
  type SoakEngine,
} from "./soak_engine.ts";

/** Attempts that the route of a resumable stream allows. */
const MAXIMUM_STREAM_ATTEMPTS = 2;

/** Longest wait for all results to be listed, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 60_000;

/** Interval between two reads, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 100;

/**
 * Time after the acknowledged end of a job in which a store that was frozen may
 * still send an item to an engine, in milliseconds: the longest freeze and an
 * election.
 */
const END_GRACE_MILLISECONDS = 10_000;

/**
 * Time around an engine fault in which streams may be interrupted, in
 * milliseconds.
 */
const ENGINE_FAULT_WINDOW_MILLISECONDS = 6_000;

/**
 * Time after an engine's announcement within which it may still get requests,
 * in milliseconds, as the users' platform states it.
 */
const DRAIN_MILLISECONDS = 3_000;

/**
 * Requests that an engine with a limit may get in a window, and the time after
 * which a machine must obey what it was told, as the users' platform states
 * them.
 */
const LIMIT_WINDOW_MILLISECONDS = 4_000;
const LIMIT_TOLERANCE = 1.5 * LIMIT * LIMIT_WINDOW_MILLISECONDS / 1_000 + 5;
const CONTACT_MILLISECONDS = 3_000;

/**
 * Least share of streams that entries without links serve, relative to the
 * share that others serve, as the users' platform states it.
 */
const STRANDED_SERVED_RATIO = 2 / 3;

/** Inputs of the checks. */
export interface ICheckContext {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  readonly random: TestRandom;
}

/**
 * Checks the answers and the number of runs of each stream, and that planned
 * stops interrupt no stream.
 */
export function checkStreams({ fleet, record }: ICheckContext): void {
  const runs = groupRunsById(fleet);
  for (const stream of record.streams) {
    const { id, kind, status, isComplete, text, resumed } = stream;
    const count = runs.get(id)?.length ?? 0;
    const expected = possibleStreams(resumed?.id ?? id);
    if (status === 200) {
      const whole = (resumed?.text ?? "") + text;
      const isValid = isComplete
        ? expected.includes(whole)
        : expected.some((possible) => possible.startsWith(whole));
      if (!isValid) record.addViolation(`stream ${id} has text "${whole}"`);
    }
    if ((status === 503 || status === 429) && count > 0) {
      record.addViolation(`stream ${id} was answered not-run but ran`);
    }
    const limit = kind === "once" ? 1 : MAXIMUM_STREAM_ATTEMPTS;
    if (count > limit) record.addViolation(`${kind} ${id} ran ${count} times`);
  }
  checkPlannedStops(record);
  checkAnnouncements(record, runs);
}

/**
 * Checks that an entry sends no stream to an engine long after it has passed on
 * an answer in which the engine announced that it leaves.
 */
function checkAnnouncements(
  record: PlatformRecord,
  runs: ReadonlyMap<string, readonly IEngineRun[]>,
): void {
  for (const heard of record.streams) {
    const { entry, leavingEngine, endedAt } = heard;
    if (leavingEngine === undefined) continue;
    const hasForgotten = (until: number) =>
      record.processFaults.some(({ name, at }) =>
        name === entry && at >= heard.startedAt && at <= until
      );
    const late = record.streams.find((stream) =>
      stream.entry === entry && !hasForgotten(stream.startedAt) &&
      stream.startedAt > endedAt + DRAIN_MILLISECONDS &&
      runs.get(stream.id)?.some(({ engine }) => engine === leavingEngine)
    );
    if (!late) continue;
    record.addViolation(
      `${entry} sent ${late.id} to ${leavingEngine}, which leaves`,
    );
    return;
  }
}

/**
 * Checks that engines get no more requests than they allow. Machines that were
 * stopped, killed or frozen shortly before are excused.
 */
export function checkLimits({ fleet, record }: ICheckContext): void {
  const entries = new Map(record.streams.map(({ id, entry }) => [id, entry]));
  const isExcused = ({ id, at }: { id: string; at: number }) => {
    const entry = entries.get(id);
    return record.processFaults.some((fault) =>
      (entry === undefined
        ? fault.name.startsWith("store")
        : fault.name === entry) &&
      fault.at <= at && fault.at >= at - CONTACT_MILLISECONDS
    );
  };
  for (const [index, { limitedArrivals }] of fleet.engines.entries()) {
    const since = (limitedArrivals[0]?.at ?? 0) + CONTACT_MILLISECONDS;
    const counted = limitedArrivals
      .filter((arrival) => arrival.at >= since && !isExcused(arrival));
    const most = Math.max(
      0,
      ...counted.map(({ at: start }) =>
        counted.filter(({ at }) =>
          at >= start && at < start + LIMIT_WINDOW_MILLISECONDS
        ).length
      ),
    );
    if (most <= LIMIT_TOLERANCE) continue;
    record.addViolation(
      `engine i-${index} got ${most} requests in a window, ` +
        `${LIMIT_TOLERANCE} allowed`,
    );
  }
}

/**
 * Checks that callers of entries without links to the engines are served nearly
 * as often as those of other entries. As the users' platform states it, this
 * holds while the stores are stable, and for entries without faults of their
 * own.
 */
export function checkStrandings({ record }: ICheckContext): void {
  const { stranding } = record;
  if (!stranding) return;
  const since = stranding.startedAt + CONTACT_MILLISECONDS;
  const isFaulty = (entry: string) =>
    stranding.absentEntries.includes(entry) ||
    record.processFaults.some(({ name, at }) =>
      name === entry && at > stranding.startedAt
    ) ||
    record.plannedStops.some(({ processName, endedAt }) =>
      processName === entry && endedAt > stranding.startedAt
    );
  const areStoresStable = (stream: IStreamRecord) =>
    record.storeFaults.every(({ startedAt, endedAt }) =>
      startedAt > stream.endedAt ||
      endedAt + CONTACT_MILLISECONDS < stream.startedAt
    );
  const tries = record.streams.filter((stream) =>
    !stream.resumed && !isFaulty(stream.entry) && areStoresStable(stream) &&
    stream.startedAt >= since && stream.startedAt < stranding.endedAt
  );
  const stranded = new Set(stranding.entries);
  const summarize = (selected: readonly IStreamRecord[]) => {
    const served =
      selected.filter(({ status, isComplete }) => status === 200 && isComplete)
        .length;
    return { total: selected.length, served };
  };
  const here = summarize(tries.filter(({ entry }) => stranded.has(entry)));
  const others = summarize(tries.filter(({ entry }) => !stranded.has(entry)));
  if (here.total === 0 || others.total === 0) return;
  const isRarer = here.served / here.total <
    STRANDED_SERVED_RATIO * others.served / others.total;
  const tolerated = 10 + here.total / 50;
  if (!isRarer || here.total - here.served <= tolerated) return;
  record.addViolation(
    `entries without links served ${here.served} of ${here.total} streams, ` +
      `the others ${others.served} of ${others.total}`,
  );
}

function checkPlannedStops(record: PlatformRecord): void {
  for (const { processName, startedAt, endedAt } of record.plannedStops) {
    for (const stream of record.streams) {
      const endedDuringStop = stream.entry === processName &&
        stream.startedAt < startedAt &&
        stream.endedAt > startedAt && stream.endedAt <= endedAt;
      const isNearEngineFault = record.engineFaultTimes.some((at) =>
        Math.abs(at - stream.startedAt) < ENGINE_FAULT_WINDOW_MILLISECONDS
      );
      if (!endedDuringStop || isNearEngineFault || stream.isComplete) continue;
      record.addViolation(
        `planned stop of ${processName} interrupted ${stream.id}`,
      );
    }
  }
}

/** Waits until all results of accepted jobs are listed and checks them. */
export async function checkJobs(context: ICheckContext): Promise<void> {
  const { fleet, record } = context;
  const deadline = Date.now() + SETTLE_TIMEOUT_MILLISECONDS;
  // The key is ignored where callers have none.
  const client = new Client({ Key: STEADY_KEY.key });
  for (const job of record.jobs) {
    const isOpen = () =>
      !job.isEndSent && job.results.length < job.items.length;
    while (job.isAccepted && isOpen() && Date.now() < deadline) {
      await readJob(context, client, job);
      await sleep(READ_INTERVAL_MILLISECONDS);
    }
    if (job.isAccepted && isOpen()) {
      const count = `${job.results.length} of ${job.items.length}`;
      record.addViolation(`job ${job.id} has ${count} results`);
    }
    checkResults(record, job);
  }
  client.dispose();
  checkRuns(record, groupRunsById(fleet));
}

function checkResults(record: PlatformRecord, job: ISoakJob): void {
  const positions = new Map<string, number>();
  job.results.forEach(({ id, state, text }, position) => {
    const item = job.items.find((candidate) => candidate.id === id);
    if (!item) return record.addViolation(`${job.id} lists unknown item ${id}`);
    if (positions.has(id)) record.addViolation(`${id} is listed twice`);
    positions.set(id, position);
    const isValid = state === "done"
      ? !item.isPoison && possibleTexts(id).includes(text)
      : item.isPoison || job.isEndSent;
    if (!isValid) record.addViolation(`${id} is ${state} with "${text}"`);
  });
}

function checkRuns(
  record: PlatformRecord,
  runs: ReadonlyMap<string, readonly IEngineRun[]>,
): void {
  for (const job of record.jobs) {
    for (const { id } of job.items) {
      const itemRuns = runs.get(id) ?? [];
      if (job.isRefused && itemRuns.length > 0) {
        record.addViolation(
          `${id} ran, though ${job.id} was refused each time`,
        );
      }
      const limit = (job.endedAt ?? Infinity) + END_GRACE_MILLISECONDS;
      if (itemRuns.some(({ startedAt }) => startedAt > limit)) {
        record.addViolation(`${id} ran long after ${job.id} had ended`);
      }
    }
  }
}

/** Checks that a store serves the newest acknowledged configuration. */
export async function checkConfiguration(
  context: ICheckContext,
): Promise<void> {
  const client = new Client();
  let version: number | undefined;
  const deadline = Date.now() + SETTLE_TIMEOUT_MILLISECONDS;
  while (version === undefined && Date.now() < deadline) {
    version = await readConfiguration(context, client);
    await sleep(READ_INTERVAL_MILLISECONDS);
  }
  if (version === undefined) context.record.addViolation("no config was read");
  client.dispose();
}

function groupRunsById(
  { engines }: PlatformFleet<SoakEngine>,
): Map<string, IEngineRun[]> {
  const runs = new Map<string, IEngineRun[]>();
  for (const run of engines.flatMap((engine) => engine.runs)) {
    runs.set(run.id, [...runs.get(run.id) ?? [], run]);
  }
  return runs;
}
