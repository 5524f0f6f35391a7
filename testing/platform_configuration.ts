/** Host of all routes in the test configuration. */
export const HOST = "one.example";

function route(name: string, changes: Record<string, unknown>) {
  return {
    ...{ name, host: HOST, "path-prefix": `/${name}/` },
    "timeout-ms": 5_000,
    "goal-ms": 300,
    priority: 0,
    service: "writer",
    ...changes,
  };
}

/** Builds a configuration with two routes for streams and one for jobs. */
export function platformConfiguration(version: number, changes = {}): string {
  return JSON.stringify({
    version,
    routes: [
      route("live", { kind: "stream", attempts: 2, resumable: true }),
      route("once", { kind: "stream", attempts: 2 }),
      route("jobs", {
        kind: "batch",
        attempts: 3,
        "result-target-ms": 18_000,
        "retention-s": 60,
      }),
    ],
    services: [{ name: "writer", "health-path": "/health" }],
    limits: {
      "header-bytes": 16_384,
      "body-bytes": 4_194_304,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    ...changes,
  });
}
