import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformFleet } from "../../testing/platform_fleet.ts";
import type { TestRandom } from "../../testing/test_random.ts";
import { Client } from "./client.ts";
import { readJob, readOrders } from "./loads.ts";
import type { ISoakJob, PlatformRecord } from "./platform_record.ts";
import {
  expectedData,
  expectedStream,
  type IEngineRun,
  type SoakEngine,
} from "./soak_engine.ts";

/** Sends that a resumable stream's route allows. */
const STREAM_ATTEMPTS = 2;

/** Longest wait for all jobs to be listed, in milliseconds. */
const SETTLE_MILLISECONDS = 60_000;

/** Pause between two reads of a job, in milliseconds. */
const READ_PAUSE_MILLISECONDS = 100;

/**
 * Time after an acknowledged end in which a store that was frozen may still
 * send an item, in milliseconds; the longest freeze and an election.
 */
const END_MILLISECONDS = 10_000;

/** Time around a disturbance in which an engine may break off, in ms. */
const DISTURBANCE_MILLISECONDS = 6_000;

/** What the checks work with. */
export interface ICheckParts {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  readonly random: TestRandom;
}

/** Checks streams: whole answers, numbers of runs, planned stops. */
export function checkStreams({ fleet, record }: ICheckParts): void {
  const runs = runsById(fleet);
  for (const stream of record.streams) {
    const { id, kind, status, isWhole, text } = stream;
    const count = runs.get(id)?.length ?? 0;
    const expected = expectedStream(id);
    if (status === 200) {
      const isRight = isWhole ? text === expected : expected.startsWith(text);
      if (!isRight) record.violate(`stream ${id} is "${text}"`);
    }
    if ((status === 503 || status === 429) && count > 0) {
      record.violate(`stream ${id} was told not-run but ran`);
    }
    const most = kind === "once" ? 1 : STREAM_ATTEMPTS;
    if (count > most) record.violate(`${kind} stream ${id} ran ${count} times`);
  }
  checkStops(record);
}

function checkStops(record: PlatformRecord): void {
  for (const { entry, beganAt, endedAt } of record.stops) {
    for (const stream of record.streams) {
      const isDuring = stream.entry === entry && stream.beganAt < beganAt &&
        stream.endedAt > beganAt && stream.endedAt <= endedAt;
      const isDisturbed = record.engineFaults.some((at) =>
        Math.abs(at - stream.beganAt) < DISTURBANCE_MILLISECONDS
      );
      if (!isDuring || isDisturbed || stream.isWhole) continue;
      record.violate(`planned stop of ${entry} cut off ${stream.id}`);
    }
  }
}

/** Waits until all accepted jobs are listed and checks their results. */
export async function checkSoakJobs(parts: ICheckParts): Promise<void> {
  const { fleet, record } = parts;
  const deadline = Date.now() + SETTLE_MILLISECONDS;
  const client = new Client();
  for (const job of record.jobs) {
    const isOpen = () => !job.isEndSent && job.read.length < job.items.length;
    while (job.isAccepted && isOpen() && Date.now() < deadline) {
      await readJob(parts, client, job);
      await sleep(READ_PAUSE_MILLISECONDS);
    }
    if (job.isAccepted && isOpen()) {
      const count = `${job.read.length} of ${job.items.length}`;
      record.violate(`job ${job.id} has ${count} results`);
    }
    checkResults(record, job);
  }
  client.dispose();
  checkRuns(record, runsById(fleet));
}

function checkResults(record: PlatformRecord, job: ISoakJob): void {
  const positions = new Map<string, number>();
  job.read.forEach(({ id, state, text }, position) => {
    const item = job.items.find((candidate) => candidate.id === id);
    if (!item) return record.violate(`${job.id} lists ${id} of another job`);
    if (positions.has(id)) record.violate(`${id} stands at two positions`);
    positions.set(id, position);
    const isRight = state === "done"
      ? !item.isPoison && text === expectedData(id).join("\n")
      : item.isPoison || job.isEndSent;
    if (!isRight) record.violate(`${id} is ${state} with "${text}"`);
  });
}

function checkRuns(
  record: PlatformRecord,
  runs: ReadonlyMap<string, readonly IEngineRun[]>,
): void {
  for (const job of record.jobs) {
    for (const { id } of job.items) {
      const ran = runs.get(id) ?? [];
      if (job.isRefused && ran.length > 0) {
        record.violate(`${id} ran, though ${job.id} was refused each time`);
      }
      const limit = (job.endedAt ?? Infinity) + END_MILLISECONDS;
      if (ran.some(({ beganAt }) => beganAt > limit)) {
        record.violate(`${id} ran long after ${job.id} had ended`);
      }
    }
  }
}

/** Checks that the newest acknowledged configuration is shown at the end. */
export async function checkOrders(parts: ICheckParts): Promise<void> {
  const client = new Client();
  let shown: number | undefined;
  const deadline = Date.now() + SETTLE_MILLISECONDS;
  while (shown === undefined && Date.now() < deadline) {
    shown = await readOrders(parts, client);
    await sleep(READ_PAUSE_MILLISECONDS);
  }
  if (shown === undefined) parts.record.violate("no configuration is shown");
  client.dispose();
}

function runsById(
  { engines }: PlatformFleet<SoakEngine>,
): Map<string, IEngineRun[]> {
  const runs = new Map<string, IEngineRun[]>();
  for (const run of engines.flatMap((engine) => engine.runs)) {
    runs.set(run.id, [...runs.get(run.id) ?? [], run]);
  }
  return runs;
}
