import { setTimeout as sleep } from "node:timers/promises";
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { statusSchema } from "../operators/mod.ts";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import type { HttpClient } from "./http_client.ts";

/** How often the rollout is read, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 250;

/** Where a configuration version is in force, and where it is not. */
export const rolloutSchema = z.object({
  version: z.number(),
  inForce: z.array(z.string()),
  missing: z.array(z.object({ id: z.string(), reason: z.string() })),
});
export type Rollout = z.infer<typeof rolloutSchema>;

/** Waits until a version is in force on every live instance. */
export async function waitForRollout(
  client: HttpClient,
  version: number,
  options: { seconds: number; onChange: (rollout: Rollout) => void },
): Promise<Result<Rollout, ICliFailure>> {
  const deadline = performance.now() + options.seconds * 1_000;
  for (;;) {
    const read = await readRollout(client, version);
    const complete = read.isOk() && read.value.missing.length === 0 &&
      read.value.inForce.length > 0;
    if (read.isOk()) options.onChange(read.value);
    if (complete || performance.now() >= deadline) return read;
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}

/** Reads the rollout from the fleet. */
async function readRollout(
  client: HttpClient,
  version: number,
): Promise<Result<Rollout, ICliFailure>> {
  const path = `/configuration/rollout?version=${version}`;
  const rollout = await client.fetch({ path }, rolloutSchema);
  const isAbsent = rollout.isErr() &&
    rollout.error.exitCode === ExitCode.notFound;
  return isAbsent ? await deriveRollout(client, version) : rollout;
}

/** Works the rollout out from heartbeats, for edges without the route. */
async function deriveRollout(
  client: HttpClient,
  version: number,
): Promise<Result<Rollout, ICliFailure>> {
  const status = await client.fetch({ path: "/status" }, statusSchema);
  return status.andThen(({ members }) => {
    const live = members.filter(({ health }) => health !== "lost");
    const behind = live.filter(({ configurationVersion }) =>
      configurationVersion < version
    );
    return ok({
      version,
      inForce: live.filter((member) => !behind.includes(member))
        .map(({ id }) => id),
      missing: behind.map(({ id, health, configurationVersion }) => ({
        id,
        reason: `${health}, has version ${configurationVersion}`,
      })),
    });
  });
}
