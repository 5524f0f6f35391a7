import { setTimeout as sleep } from "node:timers/promises";
import type { Result, ResultAsync } from "neverthrow";
import { type Rollout, rolloutSchema } from "../configuration/mod.ts";
import type { ICliFailure } from "./exit_code.ts";
import type { HttpClient } from "./http_client.ts";

/** Interval between reads of the rollout. */
const POLL_INTERVAL_MILLISECONDS = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/** Reads on which instances a version is in force. */
export function readRollout(
  client: HttpClient,
  version: number,
): ResultAsync<Rollout, ICliFailure> {
  const path = `/configuration/rollout?version=${version}`;
  return client.fetch({ path }, rolloutSchema);
}

/** Whether a version is in force on every live instance. */
export function isComplete({ inForce, missing }: Rollout): boolean {
  return missing.length === 0 && inForce.length > 0;
}

/** Polls until a version is in force on every live instance or time is up. */
export async function waitForRollout(
  client: HttpClient,
  version: number,
  options: { seconds: number; onChange: (rollout: Rollout) => void },
): Promise<Result<Rollout, ICliFailure>> {
  const waitMilliseconds = options.seconds * MILLISECONDS_PER_SECOND;
  const deadline = performance.now() + waitMilliseconds;
  for (;;) {
    const read = await readRollout(client, version);
    if (read.isOk()) options.onChange(read.value);
    if (read.isOk() && isComplete(read.value)) return read;
    if (performance.now() >= deadline) return read;
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}
