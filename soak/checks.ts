import { setTimeout as sleep } from "node:timers/promises";
import { type EngineStandin, expectedText } from "../testing/engine_standin.ts";
import { BATCH_CALLER_KEY, type Fleet } from "../testing/fleet.ts";
import { fetchJson } from "../testing/http.ts";
import type { PlainStandin } from "../testing/plain_standin.ts";
import { itemPrompt, itemTokens } from "./batch_load.ts";
import type { IJobRecord, SoakRecord } from "./soak_record.ts";

/** Longest wait for all jobs to end after the faults, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 90_000;

/**
 * Time after a cancellation in which items of the job may still start, in
 * milliseconds: the length of one lease.
 */
const CANCEL_GRACE_MILLISECONDS = 10_000;

const AUTHORIZATION = { authorization: `Bearer ${BATCH_CALLER_KEY}` };

/** Counts of the stand-in engines, summed over all of them. */
export interface IEngineCounts {
  /** Attempts by prompt, resumed ones included. */
  readonly attempts: ReadonlyMap<string, number>;
  /** Wall time at which the latest attempt started, by prompt. */
  readonly lastStartedAt: ReadonlyMap<string, number>;
}

/** Adds up the counts of the engines. */
export function sumEngineCounts(
  engines: readonly EngineStandin[],
): IEngineCounts {
  const attempts = new Map<string, number>();
  const lastStartedAt = new Map<string, number>();
  for (const engine of engines) {
    for (const [prompt, count] of engine.attempts) {
      attempts.set(prompt, (attempts.get(prompt) ?? 0) + count);
    }
    for (const [prompt, at] of engine.lastStartedAt) {
      lastStartedAt.set(prompt, Math.max(lastStartedAt.get(prompt) ?? 0, at));
    }
  }
  return { attempts, lastStartedAt };
}

/**
 * Compares the outcomes that callers received with the runs that the engines
 * and the plain service counted.
 */
export function checkRequests(
  record: SoakRecord,
  counts: IEngineCounts,
  plain: PlainStandin,
): void {
  const countRuns = (request: { kind: string; prompt: string }) =>
    (request.kind === "plain" ? plain.runs : counts.attempts)
      .get(request.prompt) ?? 0;
  const outcomeKinds = new Map<string, Set<string>>();
  for (const request of record.requests) {
    const kinds = outcomeKinds.get(request.prompt) ?? new Set();
    outcomeKinds.set(
      request.prompt,
      kinds.add(request.outcome?.kind ?? "none"),
    );
    if (request.outcome?.kind === "answer") {
      if (request.outcome.text !== request.expected) {
        record.addViolation(
          `wrong answer to "${request.prompt}": "${request.outcome.text}"`,
        );
      }
    }
    if (request.kind !== "live" && countRuns(request) > 1) {
      const runs = countRuns(request);
      record.addViolation(
        `non-idempotent request "${request.prompt}" ran ${runs} times`,
      );
    }
  }
  for (const request of record.requests) {
    const kinds = outcomeKinds.get(request.prompt);
    if (kinds?.size === 1 && kinds.has("not-run") && countRuns(request) > 0) {
      record.addViolation(`"${request.prompt}" was answered not-run but ran`);
    }
  }
}

/**
 * Checks that instances exit with code 0 after a planned stop, and that the
 * stop interrupts no request in progress.
 */
export function checkPlannedStops(record: SoakRecord): void {
  for (const stop of record.plannedStops) {
    if (stop.exitCode !== 0) {
      record.addViolation(
        `${stop.instance} exited with code ${stop.exitCode}`,
      );
    }
    for (const request of record.requests) {
      const overlapsStop = request.instance === stop.instance &&
        request.startedAt <= stop.endedAt && request.endedAt >= stop.startedAt;
      if (!overlapsStop || request.outcome?.kind !== "broken") continue;
      if (request.outcome.afterHead || request.startedAt < stop.startedAt) {
        record.addViolation(
          `planned stop of ${stop.instance} interrupted "${request.prompt}"`,
        );
      }
    }
  }
}

/**
 * Checks that the history has each accepted change under its version, and that
 * no two changes were accepted as the same version.
 */
export async function checkChanges(
  fleet: Fleet,
  record: SoakRecord,
): Promise<void> {
  const [first] = fleet.instances;
  const answer = await fetchJson(
    `${first?.operatorsUrl}/configuration/history?limit=1000`,
  );
  const versions = new Map<string, number>();
  for (const { changeId, version } of answer.body.records) {
    versions.set(changeId, version);
  }
  const acceptedChanges = new Map<number, string>();
  for (const change of record.changes) {
    const { changeId, acceptedVersion } = change;
    if (acceptedVersion === undefined) continue;
    if (versions.get(changeId) !== acceptedVersion) {
      record.addViolation(`accepted change ${changeId} is not in the history`);
    }
    const other = acceptedChanges.get(acceptedVersion);
    if (other !== undefined) {
      record.addViolation(
        `${changeId} and ${other} were both accepted as ${acceptedVersion}`,
      );
    }
    acceptedChanges.set(acceptedVersion, changeId);
  }
}

/** Waits until all jobs have ended and checks their results. */
export async function checkJobs(
  fleet: Fleet,
  record: SoakRecord,
  readCounts: () => IEngineCounts,
): Promise<void> {
  const deadline = Date.now() + SETTLE_TIMEOUT_MILLISECONDS;
  for (const job of record.jobs) {
    if (job.ids.size !== 1) {
      const ids = [...job.ids].join(", ");
      record.addViolation(`job ${job.key} has several ids: ${ids}`);
    }
    await checkJob(fleet, record, { job, deadline });
  }
  const { lastStartedAt } = readCounts();
  for (const job of record.jobs) {
    const limit = (job.cancelledAt ?? Infinity) + CANCEL_GRACE_MILLISECONDS;
    for (let index = 0; index < job.items; index++) {
      const startedAt = lastStartedAt.get(itemPrompt(job, index)) ?? 0;
      if (startedAt > limit) {
        record.addViolation(
          `item ${index} of cancelled job ${job.key} started too late`,
        );
      }
    }
  }
}

async function checkJob(
  fleet: Fleet,
  record: SoakRecord,
  options: { job: IJobRecord; deadline: number },
): Promise<void> {
  const { job, deadline } = options;
  const [id] = job.ids;
  const batch = await waitForEnd(fleet, `${id}`, deadline);
  if (!batch) return record.addViolation(`job ${job.key} did not end`);
  const cancelled = job.cancelledAt !== undefined;
  if (cancelled !== (batch.status === "cancelled")) {
    // A job may have finished before its cancellation arrived.
    if (!cancelled || batch.status !== "completed") {
      record.addViolation(`job ${job.key} ended as ${batch.status}`);
    }
  }
  const url = fleet.instances.at(-1)?.callersUrl ?? "";
  const results = new Map<number, string>();
  for (const file of [batch.output_file_id, batch.error_file_id]) {
    if (!file) continue;
    for (const line of await readLines(`${url}/v1/files/${file}/content`)) {
      const result = JSON.parse(line);
      const index = Number(result.custom_id);
      if (results.has(index)) {
        record.addViolation(`item ${index} of ${job.key} has two results`);
      }
      results.set(index, line);
      checkResultText(record, job, { index, result });
    }
  }
  if (results.size !== job.items) {
    const count = `${results.size} of ${job.items}`;
    record.addViolation(`job ${job.key} has ${count} results`);
  }
}

function checkResultText(
  record: SoakRecord,
  job: IJobRecord,
  // deno-lint-ignore no-explicit-any
  options: { index: number; result: any },
): void {
  const { index, result } = options;
  const text = result.response?.body.choices[0].text;
  if (text === undefined) return;
  const expected = expectedText(itemPrompt(job, index), itemTokens(index));
  if (text !== expected) {
    record.addViolation(`item ${index} of ${job.key} has wrong text "${text}"`);
  }
}

async function waitForEnd(fleet: Fleet, id: string, deadline: number) {
  for (let attempt = 0; Date.now() < deadline; attempt++) {
    const instance = fleet.instances[attempt % fleet.instances.length];
    try {
      const { status, body } = await fetchJson(
        `${instance?.callersUrl}/v1/batches/${id}`,
        { headers: AUTHORIZATION, signal: AbortSignal.timeout(5_000) },
      );
      if (status === 200 && !/progress|ing$/.test(body.status)) return body;
    } catch {
      // Retried at the next instance.
    }
    await sleep(100);
  }
  return undefined;
}

async function readLines(url: string): Promise<string[]> {
  const response = await fetch(url, { headers: AUTHORIZATION });
  const text = await response.text();
  return text.split("\n").filter((line) => line !== "");
}
