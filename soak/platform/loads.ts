import { setTimeout as sleep } from "node:timers/promises";
import { platformConfiguration } from "../../testing/platform_configuration.ts";
import type { PlatformFleet } from "../../testing/platform_fleet.ts";
import type { TestRandom } from "../../testing/test_random.ts";
import { Client } from "./client.ts";
import type {
  IReadResult,
  ISoakConfiguration,
  ISoakJob,
  PlatformRecord,
} from "./platform_record.ts";
import { POISON, type SoakEngine } from "./soak_engine.ts";

/** Time that a client of a stream waits, in milliseconds. */
const STREAM_DEADLINE_MILLISECONDS = 5_000;

/** Longest pause of a client between two streams, in milliseconds. */
const MAXIMUM_STREAM_PAUSE_MILLISECONDS = 80;

/** Longest wait for the answer to a call about a job, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 4_000;

/** How often a job is sent before its client gives up. */
const MAXIMUM_SUBMIT_ATTEMPTS = 12;

/** How often an order is sent before its operator gives up. */
const MAXIMUM_CONFIGURATION_ATTEMPTS = 12;

/** Longest pause before something is sent again, in milliseconds. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 500;

/** What every load works with. */
export interface ILoadContext {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  readonly random: TestRandom;
  readonly name: string;
  readonly signal: AbortSignal;
}

/** Sends streams, one after the other, on connections that stay open. */
export async function runStreamLoad(context: ILoadContext): Promise<void> {
  const { fleet, record, random, name, signal } = context;
  const clients = fleet.entries.map(() => new Client());
  for (let count = 0; !signal.aborted; count++) {
    const index = random.integer(0, fleet.entries.length - 1);
    const kind = random.pick(["resumable", "resumable", "once"] as const);
    const id = `${name}-${count}`;
    const startedAt = Date.now();
    const answer = await clients[index]!.send(fleet.front(index), {
      method: "POST",
      path: kind === "resumable" ? "/live/1" : "/once/1",
      headers: {
        "Request-Id": id,
        "Deadline-Ms": String(STREAM_DEADLINE_MILLISECONDS),
      },
      body: id,
      timeoutMilliseconds: 2 * STREAM_DEADLINE_MILLISECONDS,
    });
    const entry = fleet.entries[index]!.name;
    const endedAt = Date.now();
    record.streams.push({ id, kind, entry, startedAt, endedAt, ...answer });
    await sleep(random.integer(0, MAXIMUM_STREAM_PAUSE_MILLISECONDS));
  }
  for (const client of clients) client.dispose();
}

/** Submits jobs, reads them at random entries, and ends some. */
export async function runJobLoad(context: ILoadContext): Promise<void> {
  const { record, random, name, signal } = context;
  const client = new Client();
  for (let count = 0; !signal.aborted; count++) {
    const id = `${name}-${count}`;
    const items = Array.from(
      { length: random.integer(1, 8) },
      (_, index) => ({ id: `${id}-${index}`, isPoison: random.chance(5) }),
    );
    const job: ISoakJob = {
      ...{ id, items, isAccepted: false, isRefused: true, results: [] },
      ...{ endedAt: undefined, isEndSent: false },
    };
    record.jobs.push(job);
    await submit(context, client, job);
    const reads = random.integer(0, 6);
    for (let read = 0; job.isAccepted && read < reads; read++) {
      await readJob(context, client, job);
      await sleep(random.integer(0, MAXIMUM_RETRY_DELAY_MILLISECONDS));
    }
    if (job.isAccepted && random.chance(15)) await endJob(context, client, job);
  }
  client.dispose();
}

async function submit(
  { fleet, random, signal }: ILoadContext,
  client: Client,
  job: ISoakJob,
): Promise<void> {
  const items = job.items.map(({ id, isPoison }) => ({
    id,
    path: "/jobs/1",
    headers: { Model: isPoison ? POISON : "m" },
    body: btoa(id),
    tokens: 100,
  }));
  for (
    let attempt = 0;
    attempt < MAXIMUM_SUBMIT_ATTEMPTS && !signal.aborted;
    attempt++
  ) {
    const entry = random.integer(0, fleet.entries.length - 1);
    const { status } = await client.send(fleet.front(entry), {
      method: "POST",
      path: "/jobs/1",
      headers: { "Request-Id": job.id },
      body: JSON.stringify({ items }),
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    if (status !== 503 && status !== 429) job.isRefused = false;
    if (status === 202) {
      job.isAccepted = true;
      return;
    }
    await sleep(random.integer(1, MAXIMUM_RETRY_DELAY_MILLISECONDS));
  }
}

/** Reads results, from the start or a later position, at any entry. */
export async function readJob(
  { fleet, record, random }: Omit<ILoadContext, "name" | "signal">,
  client: Client,
  job: ISoakJob,
): Promise<void> {
  const entry = random.integer(0, fleet.entries.length - 1);
  const after = random.chance(50) ? 0 : job.results.length;
  const { status, text, isWhole } = await client.send(fleet.front(entry), {
    method: "GET",
    path: `/figroad/lots/${job.id}?after=${after}`,
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  const where = `${job.id} at ${fleet.entries[entry]!.name}`;
  if (status === 404) record.addViolation(`${where}: accepted, but not known`);
  if (status !== 200 || !isWhole) return;
  const page = JSON.parse(text) as { total: number; results: IReadResult[] };
  if (page.total !== job.items.length) {
    record.addViolation(`${where}: total is ${page.total}`);
  }
  page.results.forEach((result, index) => {
    const earlier = job.results[after + index];
    if (!earlier) job.results[after + index] = result;
    else if (JSON.stringify(earlier) !== JSON.stringify(result)) {
      record.addViolation(`${where}: position ${after + index} has changed`);
    }
  });
}

async function endJob(
  { fleet, random }: ILoadContext,
  client: Client,
  job: ISoakJob,
): Promise<void> {
  const entry = random.integer(0, fleet.entries.length - 1);
  job.isEndSent = true;
  const { status } = await client.send(fleet.front(entry), {
    method: "DELETE",
    path: `/figroad/lots/${job.id}`,
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  if (status === 200) job.endedAt = Date.now();
}

/** Two operators send configurations at once and read them back. */
export async function runConfigurationLoad(
  context: ILoadContext,
): Promise<void> {
  const { record, random, signal } = context;
  const clients = [new Client(), new Client()];
  let version = Math.max(
    ...record.configurations.map((configuration) => configuration.version),
  );
  while (!signal.aborted) {
    await Promise.all(clients.map(async (client) => {
      version += random.integer(1, 3);
      const source = platformConfiguration(version, {
        note: `order ${version}`,
      });
      const configuration: ISoakConfiguration = {
        version,
        source,
        isAcknowledged: false,
      };
      record.configurations.push(configuration);
      await sendConfiguration(context, client, configuration);
    }));
    await readConfiguration(context, clients[0]!);
    await sleep(random.integer(0, 2 * MAXIMUM_RETRY_DELAY_MILLISECONDS));
  }
  for (const client of clients) client.dispose();
}

async function sendConfiguration(
  { fleet, record, random, signal }: ILoadContext,
  client: Client,
  configuration: ISoakConfiguration,
): Promise<void> {
  for (
    let attempt = 0;
    attempt < MAXIMUM_CONFIGURATION_ATTEMPTS && !signal.aborted;
    attempt++
  ) {
    const store = random.integer(0, fleet.stores.length - 1);
    const { status, text } = await client.send(fleet.control(store), {
      method: "PUT",
      path: "/figroad/config",
      body: configuration.source,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    if (status === 200) {
      configuration.isAcknowledged = true;
      return;
    }
    if (status !== undefined && status < 500) {
      record.addViolation(
        `version ${configuration.version} was refused: ${text}`,
      );
    }
    await sleep(random.integer(1, MAXIMUM_RETRY_DELAY_MILLISECONDS));
  }
}

/** Reads the configuration; resolves with its version, if there is one. */
export async function readConfiguration(
  { fleet, record, random }: Omit<ILoadContext, "name" | "signal">,
  client: Client,
): Promise<number | undefined> {
  const acknowledgedVersion = record.highestAcknowledgedVersion();
  const store = random.integer(0, fleet.stores.length - 1);
  const { status, text, isWhole } = await client.send(fleet.control(store), {
    method: "GET",
    path: "/figroad/config",
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  if (status !== 200 || !isWhole) return undefined;
  const { version } = JSON.parse(text) as { version: number };
  const where = fleet.stores[store]!.name;
  if (version < acknowledgedVersion) {
    record.addViolation(
      `${where} shows version ${version} after ${acknowledgedVersion}`,
    );
  }
  const expected = record.configurations.find((configuration) =>
    configuration.version === version
  );
  if (expected?.source !== text) {
    record.addViolation(`${where} shows version ${version} with other content`);
  }
  return version;
}
