import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../testing/fleet.ts";
import { fetchJson, postJson } from "../testing/http.ts";
import type { TestRandom } from "../testing/test_random.ts";
import type { IChangeRecord, SoakRecord } from "./soak_record.ts";

/** Longest pause between two rounds of changes, in milliseconds. */
const MAXIMUM_ROUND_PAUSE_MILLISECONDS = 1_500;

/** Attempts to submit a change if its answer is lost or an error. */
const MAXIMUM_ATTEMPTS = 10;

/**
 * Repeatedly submits two concurrent changes that are based on the same version,
 * until the signal is aborted.
 */
export async function runOperators(
  fleet: Fleet,
  record: SoakRecord,
  options: { random: TestRandom; signal: AbortSignal },
): Promise<void> {
  const { random, signal } = options;
  while (!signal.aborted) {
    await sleep(random.integer(200, MAXIMUM_ROUND_PAUSE_MILLISECONDS));
    const urls = [0, 1].map(() => random.pick(fleet.instances).operatorsUrl);
    const current = await readConfiguration(urls[0] ?? "");
    if (!current) continue;
    await Promise.all(
      urls.map((url) => submitChange(record, current, { url, fleet })),
    );
  }
}

interface IAcceptedConfiguration {
  version: number;
  // deno-lint-ignore no-explicit-any
  document: any;
}

async function readConfiguration(
  url: string,
): Promise<IAcceptedConfiguration | undefined> {
  try {
    const answer = await fetchJson(`${url}/configuration`);
    return answer.body?.accepted ?? undefined;
  } catch {
    return undefined;
  }
}

async function submitChange(
  record: SoakRecord,
  current: IAcceptedConfiguration,
  options: { url: string; fleet: Fleet },
): Promise<void> {
  const document = structuredClone(current.document);
  document.callers[0].limits.requestsPerSecond = 10_000 + record.changes.length;
  const changeRecord: IChangeRecord = {
    changeId: randomUUID(),
    expectedVersion: current.version,
    acceptedVersion: undefined,
  };
  record.changes.push(changeRecord);
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    try {
      const answer = await postJson(`${options.url}/configuration`, {
        changeId: changeRecord.changeId,
        operator: "soak",
        expectedVersion: current.version,
        document,
      });
      if (answer.status === 200) {
        changeRecord.acceptedVersion = answer.body.record.version;
        return;
      }
      if (answer.body?.kind === "conflict") return;
    } catch {
      // The answer was lost; the same change is submitted again.
    }
    await sleep(300);
  }
}

/** Checks that no ready instance returns to an older configuration. */
export async function watchVersions(
  fleet: Fleet,
  record: SoakRecord,
  options: { signal: AbortSignal },
): Promise<void> {
  const highest = new Map<string, number>();
  while (!options.signal.aborted) {
    for (const { id, operatorsUrl: url } of fleet.instances) {
      const version = await readVersionIfReady(url);
      const highestSeen = highest.get(id) ?? 0;
      if (version === undefined) continue;
      if (version < highestSeen) {
        record.addViolation(
          `${id} went back from version ${highestSeen} to ${version}`,
        );
      }
      highest.set(id, Math.max(version, highestSeen));
    }
    await sleep(100);
  }
}

/** Configuration version of an instance; undefined if it is not ready. */
async function readVersionIfReady(url: string): Promise<number | undefined> {
  const signal = AbortSignal.timeout(1_000);
  try {
    const ready = await fetchJson(`${url}/ready`, { signal });
    if (ready.status !== 200) return undefined;
    const status = await fetchJson(`${url}/status`, { signal });
    return status.body.instance.configurationVersion;
  } catch {
    return undefined;
  }
}
