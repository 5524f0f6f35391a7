import { eventually } from "./eventually.ts";
import { platformConfiguration } from "./platform_configuration.ts";
import {
  type IAnswer,
  PlatformFleet,
  sendRequest,
  StreamEngine,
} from "./platform_fleet.ts";

/** Number of events in an engine's answer. */
export const ANSWER_EVENTS = 12;

/** Version of the configuration that a fleet starts with. */
export const INITIAL_VERSION = 3;

/** Sends a configuration to a store. */
export function putConfiguration(
  fleet: PlatformFleet,
  store: number,
  body: string,
) {
  return sendRequest(fleet.control(store), {
    method: "PUT",
    path: "/figroad/config",
    body,
  });
}

/** Repeats a request until it returns a status; ignores failed connections. */
export async function retryUntilStatus(
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

/** Starts a configured fleet of two entries, three stores and some engines. */
export async function startPlatformFleet(
  engineCount = 2,
  options: { storeHeapMegabytes?: number } = {},
): Promise<PlatformFleet> {
  const engines = Array.from(
    { length: engineCount },
    (_, index) => new StreamEngine(`i-${index}`, ANSWER_EVENTS),
  );
  const fleet = new PlatformFleet(engines);
  fleet.storeHeapMegabytes = options.storeHeapMegabytes;
  try {
    await fleet.start(2);
    await serveCallers(fleet);
  } catch (error) {
    // Processes that outlive the test runner's worker keep its output open, and
    // the runner waits for them.
    await fleet.stop();
    throw error;
  }
  return fleet;
}

/** Configures a fleet and waits until its entries serve callers. */
async function serveCallers(fleet: PlatformFleet): Promise<void> {
  await retryUntilStatus(
    200,
    () => putConfiguration(fleet, 0, platformConfiguration(INITIAL_VERSION)),
  );
  for (const entry of [0, 1]) {
    await retryUntilStatus(
      200,
      () =>
        sendRequest(fleet.ready(entry), {
          method: "GET",
          path: "/figroad/ready",
        }),
    );
  }
}
