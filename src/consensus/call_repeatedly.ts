import { err, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type Deadline,
  earlierDeadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { IRpcMethod } from "../rpc/mod.ts";
import type { IControlClient } from "./types.ts";

/**
 * Timeout of one attempt, in milliseconds. The time that the method itself may
 * wait is added to it.
 */
const ATTEMPT_TIMEOUT_MILLISECONDS = 700;

/** Pause between two attempts, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 50;

/**
 * Calls an idempotent method at the leader until it answers or the deadline
 * has passed. The failure has the verdict `may-have-run` if any attempt may
 * have run.
 */
export async function callRepeatedly<P extends z.ZodType, R extends z.ZodType>(
  control: IControlClient,
  method: IRpcMethod<P, R>,
  params: z.infer<P>,
  options: {
    clock: IClock;
    deadline: Deadline;
    /** Time that the method may wait before it answers, in milliseconds. */
    waitMilliseconds?: number;
  },
): Promise<Result<z.infer<R>, Failure>> {
  const { clock, deadline, waitMilliseconds = 0 } = options;
  let last = notRun("unavailable", "no leader answered in time");
  while (!clock.isPast(deadline)) {
    const answer = await control.call(method, params, {
      deadline: earlierDeadline(
        deadline,
        clock.deadlineIn(ATTEMPT_TIMEOUT_MILLISECONDS + waitMilliseconds),
      ),
    });
    if (answer.isOk()) return answer;
    const { verdict } = last;
    last = answer.error;
    if (verdict === "may-have-run") last = { ...last, verdict };
    const isFinal = !["unavailable", "not-leader", "deadline-exceeded"]
      .includes(answer.error.code);
    if (isFinal) return err(last);
    const pause = clock.deadlineIn(RETRY_DELAY_MILLISECONDS);
    await clock.sleepUntil(earlierDeadline(pause, deadline));
  }
  return err(last);
}
