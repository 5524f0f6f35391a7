import process from "node:process";
import { Fleet } from "./fleet_2.ts";
import type { Recorder } from "./recorder_2.ts";

/** Exit code of a case that could not run. */
const COULD_NOT_RUN = 2;

/** Longest run of a case. */
const MAXIMUM_MILLISECONDS = 115_000;

/**
 * Runs a case and exits with its result: 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run.
 */
export async function runCase(
  recorder: Recorder,
  run: (fleet: Fleet) => Promise<boolean>,
): Promise<void> {
  const fleet = new Fleet(recorder);
  const exit = (code: number) => {
    recorder.write(`exit ${code}`);
    recorder.save();
    process.exit(code);
  };
  const giveUp = (reason: string) => {
    recorder.write(`the case could not run: ${reason}`);
    exit(COULD_NOT_RUN);
  };
  process.on("uncaughtException", (error) => giveUp(`${error.stack}`));
  process.on("SIGTERM", () => giveUp("stopped by SIGTERM"));
  process.on("SIGINT", () => giveUp("stopped by SIGINT"));
  setTimeout(() => giveUp("it took too long"), MAXIMUM_MILLISECONDS).unref();
  try {
    const isBroken = await run(fleet);
    await fleet.stop();
    exit(isBroken ? 1 : 0);
  } catch (error) {
    await fleet.stop().catch(() => {});
    giveUp(`${(error as Error).stack}`);
  }
}
