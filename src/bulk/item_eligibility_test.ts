import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { Deadline } from "../common/mod.ts";
import type { Route } from "../service_routes/mod.ts";
import { EngineVersions } from "./engine_versions.ts";
import { ItemEligibility } from "./item_eligibility.ts";
import type { IPendingItem } from "./pending_items.ts";

function route(service: string): Route {
  return {
    ...{ name: "reports", host: "one.example", pathPrefix: "/jobs/" },
    kind: "bulk",
    timeoutMilliseconds: 5_000,
    objectiveMilliseconds: 300,
    priority: 0,
    shares: [{ service, weight: 1 }],
    attempts: 3,
    isResumable: true,
  };
}

/** An item of a job; with a version, it has events of that version. */
function pending(
  job: string,
  softwareVersion?: string,
  versionDeadline?: number,
): IPendingItem {
  const lastEventId = softwareVersion === undefined ? undefined : "1";
  return {
    key: job,
    item: { id: "item", path: "/", headers: {}, body: "", tokens: 10 },
    job: { job: { id: job } },
    progress: { data: [], lastEventId },
    softwareVersion,
    versionDeadline: versionDeadline as Deadline | undefined,
  } as unknown as IPendingItem;
}

function createFixture(routes: Record<string, Route>) {
  const engines = [
    listedEngine("writer-1", { softwareVersion: "v1" }),
    listedEngine("writer-2", { softwareVersion: "v2" }),
    listedEngine("other-1", { service: "other", softwareVersion: "v1" }),
  ];
  const versions = new EngineVersions(engines.map((engine) => ({ engine })));
  const eligibility = new ItemEligibility(versions, {
    clock: new VirtualClock(new VirtualTime()),
    findRoute: ({ job }) => routes[job.job.id],
  });
  return (item: IPendingItem) =>
    engines.filter((engine) => eligibility.mayUse(item, engine))
      .map(({ id }) => id);
}

// Guards against items that run at the service of another route.
test("routes of one name are different routes", (t) => {
  const usableBy = createFixture({
    first: route("writer"),
    second: route("other"),
  });
  t.deepEqual(usableBy(pending("first")), ["writer-1", "writer-2"]);
  t.deepEqual(usableBy(pending("second")), ["other-1"]);
  t.deepEqual(usableBy(pending("without a route")), []);
});

test("item that has begun waits for its version, but not for ever", (t) => {
  const usableBy = createFixture({ job: route("writer") });
  const later = 5_000;
  t.deepEqual(usableBy(pending("job", "v1", later)), ["writer-1"]);
  t.deepEqual(usableBy(pending("job", "v1", -1)), ["writer-1", "writer-2"]);
  // No engine serves this version any more.
  const lost = pending("job", "v0", later);
  t.deepEqual(usableBy(lost), ["writer-1", "writer-2"]);
});
