import type { IClock } from "../common/mod.ts";
import {
  changeReplicasMethod,
  type IControlClient,
  leaderStatusMethod,
  replicaChangeSchema,
} from "../consensus/mod.ts";
import { readJsonBody } from "../entry/read_body.ts";
import { sendFailure, sendJson } from "../entry/respond.ts";
import type { IOperatorRequest, IOperatorRoute } from "./types.ts";

/** Timeout of reading or changing the replicas, in milliseconds. */
const CHANGE_TIMEOUT_MILLISECONDS = 10_000;

/** Routes that show and change the replicas of the control log. */
export function voterRoutes(
  control: IControlClient,
  clock: IClock,
): IOperatorRoute[] {
  const options = () => ({
    deadline: clock.deadlineIn(CHANGE_TIMEOUT_MILLISECONDS),
  });
  const show = async ({ response }: IOperatorRequest) => {
    const answer = await control.call(leaderStatusMethod, {}, options());
    answer.match(
      (status) => sendJson(response, 200, status),
      (failure) => sendFailure(response, failure),
    );
  };
  const change = async ({ message, response }: IOperatorRequest) => {
    const body = await readJsonBody(message, replicaChangeSchema);
    if (body.isErr()) return sendFailure(response, body.error);
    const answer = await control.call(
      changeReplicasMethod,
      body.value,
      options(),
    );
    answer.match(
      (replicas) => sendJson(response, 200, replicas),
      (failure) => sendFailure(response, failure),
    );
  };
  return [
    { method: "GET", path: /^\/voters$/, handle: show },
    { method: "POST", path: /^\/voters$/, handle: change },
  ];
}
