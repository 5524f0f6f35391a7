import { eventually } from "./eventually.ts";
import { configuration } from "./platform_configuration.ts";
import {
  type IAnswer,
  PlatformFleet,
  send,
  StreamEngine,
} from "./platform_fleet.ts";

/** Events of an engine's answer. */
export const EVENTS = 12;

/** Version of the configuration that a started fleet has. */
export const STARTED_VERSION = 3;

/** Sends a configuration to a store. */
export function put(fleet: PlatformFleet, store: number, body: string) {
  return send(fleet.control(store), {
    method: "PUT",
    path: "/figroad/config",
    body,
  });
}

/** Sends until the answer has a status; connections may fail meanwhile. */
export async function untilStatus(
  status: number,
  sendOnce: () => Promise<IAnswer>,
): Promise<IAnswer> {
  let answer: IAnswer | undefined;
  await eventually(`status ${status}`, async () => {
    answer = await sendOnce().catch(() => undefined);
    return answer?.status === status;
  });
  return answer as IAnswer;
}

/** Starts two entries and three stores with two engines and routes. */
export async function started(): Promise<PlatformFleet> {
  const engines = ["i-0", "i-1"].map((id) => new StreamEngine(id, EVENTS));
  const fleet = new PlatformFleet(engines);
  await fleet.start(2);
  await untilStatus(200, () => put(fleet, 0, configuration(STARTED_VERSION)));
  for (const entry of [0, 1]) {
    await untilStatus(
      200,
      () => send(fleet.ready(entry), { method: "GET", path: "/figroad/ready" }),
    );
  }
  return fleet;
}
