import { setTimeout as sleep } from "node:timers/promises";
import { platformConfiguration } from "../../testing/platform_configuration.ts";
import type { PlatformFleet } from "../../testing/platform_fleet.ts";
import type { TestRandom } from "../../testing/test_random.ts";
import {
  callersOf,
  changingKey,
  type ISoakKey,
  STEADY_KEY,
} from "./callers.ts";
import { Client } from "./client.ts";
import type {
  IReadResult,
  ISoakConfiguration,
  ISoakJob,
  IStreamRecord,
  PlatformRecord,
} from "./platform_record.ts";
import { POISON, type SoakEngine } from "./soak_engine.ts";

/** Deadline of a stream, in milliseconds; its client waits twice as long. */
const STREAM_DEADLINE_MILLISECONDS = 5_000;

/** Longest pause of a client between two streams, in milliseconds. */
const MAXIMUM_STREAM_PAUSE_MILLISECONDS = 80;

/** Timeout of job and configuration requests, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 4_000;

/** Attempts to submit a job before its client gives up. */
const MAXIMUM_SUBMIT_ATTEMPTS = 12;

/** Attempts to send a configuration before its operator gives up. */
const MAXIMUM_CONFIGURATION_ATTEMPTS = 12;

/** Configurations from which changing keys are taken. */
const RECENT_CONFIGURATIONS = 8;

/** Longest delay before a retry, in milliseconds. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 500;

/** Inputs of a load task. */
export interface ILoadContext {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  readonly random: TestRandom;
  readonly name: string;
  readonly signal: AbortSignal;
  /** Whether the configurations contain callers with keys. */
  readonly hasCallers: boolean;
}

/** Sends streamed requests one at a time on persistent connections. */
export async function runStreamLoad(context: ILoadContext): Promise<void> {
  const { fleet, record, random, name, signal } = context;
  const clients = fleet.entries.map(() => new Client());
  const send = async (
    stream: Pick<IStreamRecord, "id" | "kind" | "resumed">,
  ): Promise<IStreamRecord> => {
    const index = random.integer(0, fleet.entries.length - 1);
    const { id, kind, resumed } = stream;
    const key = chooseKey(context);
    const startedAt = Date.now();
    const answer = await clients[index]!.send(fleet.front(index), {
      method: "POST",
      path: kind === "resumable" ? "/live/1" : "/once/1",
      headers: {
        "Request-Id": id,
        "Deadline-Ms": String(STREAM_DEADLINE_MILLISECONDS),
        ...key && { Key: key.key },
        ...resumed && {
          Resumes: resumed.id,
          "Last-Event-Id": String(countEvents(resumed.text)),
        },
      },
      body: id,
      timeoutMilliseconds: 2 * STREAM_DEADLINE_MILLISECONDS,
    });
    const entry = fleet.entries[index]!.name;
    const endedAt = Date.now();
    const sent = { ...stream, entry, key, startedAt, endedAt, ...answer };
    record.streams.push(sent);
    return sent;
  };
  for (let count = 0; !signal.aborted; count++) {
    const kind = random.pick(["resumable", "resumable", "once"] as const);
    const id = `${name}-${count}`;
    const { text, isComplete } = await send({ id, kind });
    const events = text.slice(0, text.lastIndexOf("\n\n") + 2);
    if (kind === "resumable" && !isComplete && countEvents(events) > 0) {
      await send({ id: `${id}-resumed`, kind, resumed: { id, text: events } });
    }
    await sleep(random.integer(0, MAXIMUM_STREAM_PAUSE_MILLISECONDS));
  }
  for (const client of clients) client.dispose();
}

/** Chooses the steady key, or one that some version of late contains. */
function chooseKey(
  { record, random, hasCallers }: ILoadContext,
): ISoakKey | undefined {
  if (!hasCallers) return undefined;
  const recent = record.configurations.slice(-RECENT_CONFIGURATIONS);
  if (recent.length === 0 || random.chance(50)) return STEADY_KEY;
  return changingKey(random.pick(recent).version);
}

/** Number of events in text that ends with a complete event. */
function countEvents(text: string): number {
  return text.split("\n\n").length - 1;
}

/** Submits jobs, reads their results at random entries and ends some jobs. */
export async function runJobLoad(context: ILoadContext): Promise<void> {
  const { record, random, name, signal } = context;
  const client = new Client(context.hasCallers ? { Key: STEADY_KEY.key } : {});
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

/**
 * Reads results of a job at a random entry, from the first result or the first
 * unread one, and compares them with earlier reads.
 */
export async function readJob(
  { fleet, record, random }: Omit<
    ILoadContext,
    "name" | "signal" | "hasCallers"
  >,
  client: Client,
  job: ISoakJob,
): Promise<void> {
  const entry = random.integer(0, fleet.entries.length - 1);
  const after = random.chance(50) ? 0 : job.results.length;
  const { status, text, isComplete } = await client.send(fleet.front(entry), {
    method: "GET",
    path: `/figroad/lots/${job.id}?after=${after}`,
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  const where = `${job.id} at ${fleet.entries[entry]!.name}`;
  if (status === 404) record.addViolation(`${where}: accepted job not found`);
  if (status !== 200 || !isComplete) return;
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

/** Sends configurations from two concurrent operators and reads them back. */
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
        ...context.hasCallers && { tenants: callersOf(version) },
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
      configuration.acknowledgedAt = Date.now();
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

/**
 * Reads the configuration at a random store and checks that it is no older than
 * the newest acknowledged one and has the content that was sent. Resolves with
 * its version, or with undefined if no complete configuration was returned.
 */
export async function readConfiguration(
  { fleet, record, random }: Omit<
    ILoadContext,
    "name" | "signal" | "hasCallers"
  >,
  client: Client,
): Promise<number | undefined> {
  const acknowledgedVersion = record.highestAcknowledgedVersion();
  const store = random.integer(0, fleet.stores.length - 1);
  const { status, text, isComplete } = await client.send(fleet.control(store), {
    method: "GET",
    path: "/figroad/config",
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  });
  if (status !== 200 || !isComplete) return undefined;
  const { version } = JSON.parse(text) as { version: number };
  const where = fleet.stores[store]!.name;
  if (version < acknowledgedVersion) {
    record.addViolation(
      `${where} shows version ${version}, older than ${acknowledgedVersion}`,
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
