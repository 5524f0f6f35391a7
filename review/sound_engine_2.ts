import { setTimeout as sleep } from "node:timers/promises";
import {
  answerBytes,
  chunk,
  type IEngineRequest,
  RawEngine,
  streamHead,
} from "./engine_2.ts";
import type { Fleet } from "./fleet_2.ts";
import type { Recorder } from "./recorder_2.ts";

const SLOTS = 8;

/** Options of a sound engine. */
export interface ISoundEngineOptions {
  readonly events: number;
  readonly pauseMilliseconds: number;
}

/** An engine without faults, which records what it runs. */
export function createSoundEngine(
  id: string,
  recorder: Recorder,
  options: ISoundEngineOptions,
): RawEngine {
  return new RawEngine(id, (request) => {
    const { socket, path, headers } = request;
    const requestId = headers.get("request-id") ?? "";
    const common = { "Request-Id": requestId, "Response-Stamp": `stamp-${id}` };
    if (path === "/health") {
      socket.write(answerBytes("200 OK", { "Instance-Id": id }));
    } else if (headers.get("expect-instance") !== id) {
      const refusal = { "Request-Id": requestId, "Not-Run": "1" };
      socket.write(answerBytes("421 Misdirected Request", refusal));
    } else {
      recorder.write(`engine ${id}: runs ${requestId}`);
      void answer(request, common, options);
    }
  });
}

async function answer(
  { socket, headers }: IEngineRequest,
  common: Record<string, string>,
  { events, pauseMilliseconds }: ISoundEngineOptions,
): Promise<void> {
  await sleep(20);
  if (socket.destroyed) return;
  socket.write(streamHead(common));
  const first = Number(headers.get("last-event-id") ?? 0) + 1;
  for (let event = first; event <= events; event++) {
    if (socket.destroyed) return;
    socket.write(chunk(`id: ${event}\ndata: word ${event}\n\n`));
    await sleep(pauseMilliseconds);
  }
  if (!socket.destroyed) socket.write("0\r\n\r\n");
}

/** Starts engines, each at its own address, and lists them. */
export async function listEngines(
  fleet: Fleet,
  engines: readonly RawEngine[],
  firstHost = 0,
): Promise<void> {
  for (const [index, engine] of engines.entries()) {
    await engine.listen(fleet.engineAddress(firstHost + index));
    const { address, port } = engine.endpoint;
    const zones = ["zona-a", "zona-b", "zona-c"];
    fleet.platform.instances.push({
      ...{ id: engine.id, service: "writer", address: `${address}:${port}` },
      ...{ zone: zones[index % 3]!, version: "v1", slots: SLOTS },
      ...{ state: "ready", "cold-left-ms": 0, stage: "both" },
      models: [{ name: "m", version: 1, adapters: [] }],
      born: Date.now(),
    });
  }
}
