import { setTimeout as sleep } from "node:timers/promises";

/** Longest wait for a condition, in milliseconds. */
const CONDITION_TIMEOUT_MILLISECONDS = 90_000;

/** Resolves when the condition holds; rejects when it never does. */
export async function eventually(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + CONDITION_TIMEOUT_MILLISECONDS;
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`never: ${description}`);
    await sleep(10);
  }
}
