import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../testing/fleet.ts";
import { fetchJson, postJson } from "../testing/http.ts";
import type { TestRandom } from "../testing/test_random.ts";
import type { IChangeRecord, SoakRecord } from "./record.ts";

/** Pause between two rounds of changes, in milliseconds. */
const ROUND_PAUSE_MILLISECONDS = 1_500;

/** How often an operator sends a change again after a lost answer. */
const MAXIMUM_RESENDS = 10;

/** Races two operators who hold the same version, round after round. */
export async function runOperators(
  fleet: Fleet,
  record: SoakRecord,
  options: { random: TestRandom; signal: AbortSignal },
): Promise<void> {
  const { random, signal } = options;
  while (!signal.aborted) {
    await sleep(random.integer(200, ROUND_PAUSE_MILLISECONDS));
    const urls = [0, 1].map(() => random.pick(fleet.instances).operatorsUrl);
    const shown = await show(urls[0] ?? "");
    if (!shown) continue;
    await Promise.all(urls.map((url) => change(record, shown, { url, fleet })));
  }
}

interface IShown {
  version: number;
  // deno-lint-ignore no-explicit-any
  document: any;
}

async function show(url: string): Promise<IShown | undefined> {
  try {
    const answer = await fetchJson(`${url}/configuration`);
    return answer.body?.accepted ?? undefined;
  } catch {
    return undefined;
  }
}

async function change(
  record: SoakRecord,
  shown: IShown,
  options: { url: string; fleet: Fleet },
): Promise<void> {
  const document = structuredClone(shown.document);
  document.callers[0].limits.requestsPerSecond = 10_000 + record.changes.length;
  const entry: IChangeRecord = {
    changeId: randomUUID(),
    expectedVersion: shown.version,
    acceptedVersion: undefined,
  };
  record.changes.push(entry);
  for (let attempt = 0; attempt < MAXIMUM_RESENDS; attempt++) {
    try {
      const answer = await postJson(`${options.url}/configuration`, {
        changeId: entry.changeId,
        operator: "soak",
        expectedVersion: shown.version,
        document,
      });
      if (answer.status === 200) {
        entry.acceptedVersion = answer.body.record.version;
        return;
      }
      if (answer.body?.kind === "conflict") return;
    } catch {
      // The answer is lost: the same change is sent again.
    }
    await sleep(300);
  }
}

/** Watches that no instance goes back to an older configuration. */
export async function watchVersions(
  fleet: Fleet,
  record: SoakRecord,
  options: { signal: AbortSignal },
): Promise<void> {
  const highest = new Map<string, number>();
  while (!options.signal.aborted) {
    for (const { id, operatorsUrl: operators } of fleet.instances) {
      const version = await readyVersion(operators);
      const before = highest.get(id) ?? 0;
      if (version === undefined) continue;
      if (version < before) {
        record.violate(`${id} went back from ${before} to ${version}`);
      }
      highest.set(id, Math.max(version, before));
    }
    await sleep(100);
  }
}

/** Version in force at an instance that takes requests. */
async function readyVersion(operators: string): Promise<number | undefined> {
  const signal = AbortSignal.timeout(1_000);
  try {
    const ready = await fetchJson(`${operators}/ready`, { signal });
    if (ready.status !== 200) return undefined;
    const status = await fetchJson(`${operators}/status`, { signal });
    return status.body.instance.configurationVersion;
  } catch {
    return undefined;
  }
}
