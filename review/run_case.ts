import process from "node:process";
import { Fleet } from "./fleet.ts";
import { Record } from "./record.ts";

/** Time after which a script gives up; it may take 120 seconds. */
const TIME_LIMIT_MILLISECONDS = 112_000;

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** What a case works with. */
export interface ICaseContext {
  readonly record: Record;
  readonly fleet: Fleet;
  /** False if the case shall run without its disruption. */
  readonly hasTrouble: boolean;
}

/**
 * Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case
 * could not run.
 *
 * @param check resolves with how the rule was broken; undefined if it held.
 */
export async function runCase(
  number: number,
  check: (context: ICaseContext) => Promise<string | undefined>,
): Promise<never> {
  const record = new Record(`review/${number}/record.txt`);
  const fleet = new Fleet(record);
  const hasTrouble = process.env.TROUBLE !== "0";
  record.add("start", { hasTrouble });
  let code = COULD_NOT_RUN;
  let conclusion: string;
  try {
    const limit = new Promise<never>((_, reject) =>
      setTimeout(
        () => reject(new Error("the time limit was reached")),
        TIME_LIMIT_MILLISECONDS,
      )
    );
    const violation = await Promise.race([
      check({ record, fleet, hasTrouble }),
      limit,
    ]);
    code = violation === undefined ? HELD : BROKEN;
    conclusion = violation ?? "the rule held";
  } catch (error) {
    conclusion = `the case could not run: ${(error as Error).stack}`;
  }
  record.add("conclusion", { code, conclusion });
  console.log(conclusion);
  await fleet.stop();
  process.exit(code);
}
