import { setTimeout as sleep } from "node:timers/promises";

const CONDITION_TIMEOUT_MILLISECONDS = 90_000;

/** Polls until the condition holds; rejects after a timeout. */
export async function eventually(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + CONDITION_TIMEOUT_MILLISECONDS;
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out: ${description}`);
    await sleep(10);
  }
}
