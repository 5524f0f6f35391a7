import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "./fleet_2.ts";
import { call } from "./http_call_2.ts";
import type { Recorder } from "./recorder_2.ts";

export const HOST = "notices.example";

/** Time in which a client submits a job again and again. */
const SUBMISSION_MILLISECONDS = 20_000;

/** A configuration with a route for streams and one for batch jobs. */
export function configuration(version: number): string {
  const route = {
    host: HOST,
    "timeout-ms": 5_000,
    "goal-ms": 300,
    service: "writer",
    sticky: true,
  };
  const live = { kind: "stream", priority: 0, attempts: 2, resumable: true };
  return JSON.stringify({
    version,
    routes: [
      {
        ...{ ...route, ...live, name: "live", "path-prefix": "/live/" },
        "gap-target-ms": 250,
      },
      {
        ...{ ...route, name: "jobs", "path-prefix": "/jobs/", kind: "batch" },
        ...{ priority: 2, attempts: 3 },
        ...{ "result-target-ms": 18_000, "retention-s": 60 },
      },
    ],
    services: [{
      ...{ name: "writer", "health-path": "/health", "max-conns": 498 },
      ...{ protocol: "h1", tls: false },
      engine: { slots: 8, "kv-capacity": 147_261 },
    }],
    limits: {
      "header-bytes": 16_384,
      "body-bytes": 4_194_304,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
  });
}

/** A batch job that a client submits. */
export interface IJob {
  readonly id: string;
  readonly items: readonly {
    readonly id: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly tokens: number;
  }[];
}

/** Creates a job whose items have bodies of a size. */
export function createJob(
  number: number,
  options: { items: number; bodyBytes: number },
): IJob {
  const job = number.toString(16).padStart(4, "0");
  const items = Array.from({ length: options.items }, (_, index) => {
    const item = index.toString(16).padStart(4, "0");
    return {
      id: `${job}${item}`.padEnd(16, "0"),
      path: `/jobs/${job}/${item}`,
      headers: {
        "Model": "m",
        "Token-Count": "200,20",
        "Prefix-Hash": `${job}${item}:200`,
      },
      body: Buffer.alloc(options.bodyBytes, `${job} ${item} `)
        .toString("base64"),
      tokens: 220,
    };
  });
  return { id: job.padEnd(16, "f"), items };
}

/** Submits a job at one entry after the other until it is accepted. */
export async function submit(
  fleet: Fleet,
  recorder: Recorder,
  job: IJob,
): Promise<boolean> {
  const end = performance.now() + SUBMISSION_MILLISECONDS;
  const body = JSON.stringify({ items: job.items });
  for (let attempt = 0; performance.now() < end; attempt++) {
    const entry = attempt % fleet.entries.length;
    const { status } = await call(fleet.front(entry), {
      ...{ method: "POST", path: "/jobs/all", milliseconds: 4_000, body },
      headers: {
        "Host": HOST,
        "Request-Id": job.id,
        "Content-Type": "application/json",
        "Deadline-Ms": "4000",
      },
    });
    recorder.write(
      `client: job ${job.id}, ${job.items.length} items, ` +
        `${body.length} bytes: answer ${status}`,
    );
    if (status === 202) return true;
    await sleep(500);
  }
  return false;
}

export interface IResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/** Reads the results of a job once; undefined without a 200. */
export async function readResults(
  fleet: Fleet,
  job: string,
  entry = 0,
): Promise<{ total: number; results: IResult[] } | undefined> {
  const answer = await call(fleet.front(entry), {
    ...{ method: "GET", path: `/figroad/lots/${job}?after=0` },
    headers: { Host: HOST },
    milliseconds: 3_000,
  });
  return answer.status === 200 ? JSON.parse(answer.text) : undefined;
}
