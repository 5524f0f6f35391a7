import { setTimeout as sleep } from "node:timers/promises";
import { BATCH_CALLER_KEY, type Fleet } from "../testing/fleet.ts";
import { fetchJson, postJson } from "../testing/http.ts";
import type { TestRandom } from "../testing/test_random.ts";
import type { IJobRecord, SoakRecord } from "./soak_record.ts";

/** Longest pause between two jobs, in milliseconds. */
const MAXIMUM_JOB_PAUSE_MILLISECONDS = 1_500;

/** Longest wait for one answer, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 15_000;

const AUTHORIZATION = { authorization: `Bearer ${BATCH_CALLER_KEY}` };

/** Prompt of an item. Engines refuse prompts that contain "[refuse]". */
export function itemPrompt(job: IJobRecord, index: number): string {
  const word = job.refusedItems.has(index) ? "[refuse]" : "gauge";
  return `${job.name} ${word} ${index}`;
}

/** Token limit of an item. */
export function itemTokens(index: number): number {
  return 4 + (index % 20);
}

/**
 * Submits jobs until the signal is aborted. Some jobs are submitted twice under
 * the same idempotency key, and some are cancelled.
 */
export async function runBatchJobs(
  fleet: Fleet,
  record: SoakRecord,
  options: { name: string; random: TestRandom; signal: AbortSignal },
): Promise<void> {
  const { random, name, signal } = options;
  for (let count = 0; !signal.aborted; count++) {
    const items = random.integer(5, 60);
    const job: IJobRecord = {
      key: `${name}-${count}`,
      name: `${name} job ${count}`,
      items,
      refusedItems: new Set(
        random.chance(30) ? [random.integer(0, items - 1)] : [],
      ),
      ids: new Set(),
      cancelledAt: undefined,
    };
    const submitted = await submitUntilAccepted(fleet, job, { random, signal });
    if (!submitted) return;
    record.jobs.push(job);
    if (random.chance(30)) await submit(job, submitted);
    if (random.chance(25)) {
      await sleep(random.integer(0, 800));
      await cancel(fleet, job, { random, signal });
    }
    await sleep(random.integer(200, MAXIMUM_JOB_PAUSE_MILLISECONDS));
  }
}

/**
 * Uploads the items and submits the job, with retries until it is accepted.
 * Returns the file, and a random instance for a second submission; undefined if
 * the signal is aborted first.
 */
async function submitUntilAccepted(
  fleet: Fleet,
  job: IJobRecord,
  options: { random: TestRandom; signal: AbortSignal },
): Promise<{ fileId: string; url: string } | undefined> {
  let fileId: string | undefined;
  for (let attempt = 0; attempt === 0 || !options.signal.aborted; attempt++) {
    const url = options.random.pick(fleet.instances).callersUrl;
    fileId ??= await upload(url, job);
    if (fileId !== undefined) {
      const resubmitUrl = options.random.pick(fleet.instances).callersUrl;
      if (await submit(job, { fileId, url })) {
        return { fileId, url: resubmitUrl };
      }
    }
    await sleep(200);
  }
  return undefined;
}

async function upload(
  url: string,
  job: IJobRecord,
): Promise<string | undefined> {
  const lines = Array.from({ length: job.items }, (_, index) =>
    JSON.stringify({
      custom_id: `${index}`,
      method: "POST",
      url: "/v1/completions",
      body: {
        model: "alert-writer",
        prompt: itemPrompt(job, index),
        max_tokens: itemTokens(index),
      },
    }));
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", new Blob([lines.join("\n")]), "items.jsonl");
  try {
    const answer = await fetchJson(`${url}/v1/files`, {
      method: "POST",
      headers: AUTHORIZATION,
      body: form,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
    });
    return answer.status === 200 ? answer.body.id : undefined;
  } catch {
    return undefined;
  }
}

async function submit(
  job: IJobRecord,
  options: { fileId: string; url: string },
): Promise<boolean> {
  try {
    const answer = await postJson(`${options.url}/v1/batches`, {
      input_file_id: options.fileId,
      endpoint: "/v1/completions",
      completion_window: "24h",
    }, { ...AUTHORIZATION, "idempotency-key": job.key });
    if (answer.status !== 200) return false;
    job.ids.add(answer.body.id);
    return true;
  } catch {
    return false;
  }
}

async function cancel(
  fleet: Fleet,
  job: IJobRecord,
  options: { random: TestRandom; signal: AbortSignal },
): Promise<void> {
  const [id] = job.ids;
  while (!options.signal.aborted) {
    const url = options.random.pick(fleet.instances).callersUrl;
    try {
      const answer = await postJson(
        `${url}/v1/batches/${id}/cancel`,
        {},
        AUTHORIZATION,
      );
      if (answer.status === 200) {
        job.cancelledAt = Date.now();
        return;
      }
    } catch {
      // Retried below; cancelling a job again has no further effect.
    }
    await sleep(200);
  }
}
