import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../testing/fake_clock.ts";
import { type Route, RouteTable } from "../service_routes/mod.ts";
import { BulkSection } from "./bulk_section.ts";
import type { BulkCommand } from "./messages.ts";
import type { BulkJob } from "./types.ts";
import {
  type SubmissionDecision,
  WaitingTokenLimiter,
} from "./waiting_token_limiter.ts";

const HOST = "reports.example";
const ITEM_TOKENS = 100;

function route(name: string, waitingTokensLimit?: number): Route {
  return {
    ...{ name, host: HOST, pathPrefix: `/${name}/`, kind: "bulk" },
    timeoutMilliseconds: 15_000,
    objectiveMilliseconds: 500,
    priority: 2,
    shares: [{ service: "writer", weight: 1 }],
    attempts: 3,
    isResumable: true,
    waitingTokensLimit,
  };
}

/** Routes `limited` and `other`; no limit if it is undefined. */
function routeTable(limit: number | undefined, version = 1): RouteTable {
  return new RouteTable({
    version,
    routes: [route("limited", limit), route("other", 1_000)],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    source: "",
  });
}

function job(id: string, items: number, routeName = "limited"): BulkJob {
  const path = `/${routeName}/${id}`;
  return {
    ...{ id, host: HOST, path },
    items: Array.from({ length: items }, (_, index) => ({
      ...{ id: `${id}-${index}`, path, headers: {}, body: "" },
      tokens: ITEM_TOKENS,
    })),
  };
}

/** A store's state and limiter; `table` may be exchanged by the test. */
class Store {
  readonly clock = new FakeClock();
  readonly section = new BulkSection();
  table: RouteTable;
  readonly limiter: WaitingTokenLimiter;
  #index = 0;

  constructor(limit: number | undefined) {
    this.table = routeTable(limit);
    this.limiter = new WaitingTokenLimiter(this.section, {
      clock: this.clock,
      routes: () => this.table,
    });
  }

  apply(command: BulkCommand): void {
    this.#index += 1;
    this.section.apply(command, {
      index: this.#index,
      term: 1,
      proposedAt: this.clock.wall(),
    });
  }

  /** Decides on a job and applies it at once if it fits. */
  submit(submitted: BulkJob, term = 1): SubmissionDecision["kind"] {
    const { kind } = this.limiter.decide(submitted, term);
    if (kind === "fits") this.apply({ kind: "submit", job: submitted });
    return kind;
  }

  record(job: string, item: number, state: "done" | "dead" = "done"): void {
    const command = { kind: "record" as const, job, item: `${job}-${item}` };
    this.apply({ ...command, state, from: 0, data: [] });
  }

  get waitingTokens(): number | undefined {
    return this.limiter.usage().find(({ route }) => route === "limited")
      ?.waitingTokens;
  }
}

test("job that exceeds the limit with the waiting ones is refused", (t) => {
  const store = new Store(1_000);
  t.is(store.submit(job("a", 6)), "fits");
  t.is(store.submit(job("b", 5)), "refused");
  t.is(store.submit(job("c", 4)), "fits", "exactly at the limit");
  t.deepEqual(store.limiter.decide(job("d", 1), 1), {
    kind: "refused",
    refusal: {
      ...{ route: "limited", tokens: 100, waitingTokens: 1_000, limit: 1_000 },
      ...{ routesVersion: 1, retryMilliseconds: 2_000 },
    },
  });
  t.is(store.section.job("b"), undefined);
});

test("route without a limit accepts all jobs", (t) => {
  const store = new Store(undefined);
  for (const id of ["a", "b", "c"]) t.is(store.submit(job(id, 200)), "fits");
});

test("tokens on other routes do not count", (t) => {
  const store = new Store(500);
  t.is(store.submit(job("a", 9, "other")), "fits");
  t.is(store.submit(job("b", 5)), "fits");
  t.is(store.waitingTokens, 500);
});

test("accepted job that is sent again counts once", (t) => {
  const store = new Store(1_000);
  t.is(store.submit(job("a", 10)), "fits");
  t.is(store.submit(job("a", 10)), "known");
  t.is(store.waitingTokens, 1_000);
});

test("jobs that are being committed count, each once", (t) => {
  const { limiter, section } = new Store(1_000);
  t.is(limiter.decide(job("a", 6), 1).kind, "fits");
  t.is(limiter.decide(job("b", 6), 1).kind, "refused");
  t.is(limiter.decide(job("a", 6), 1).kind, "fits", "sent again");
  t.is(limiter.usage()[0]?.waitingTokens, 600);
  const context = { index: 1, term: 1, proposedAt: 0 };
  section.apply({ kind: "submit", job: job("a", 6) }, context);
  t.is(limiter.usage()[0]?.waitingTokens, 600);
});

test("job whose proposal failed no longer counts", (t) => {
  const { limiter } = new Store(1_000);
  limiter.decide(job("a", 6), 1);
  limiter.release("a");
  t.is(limiter.decide(job("b", 10), 1).kind, "fits");
});

test("result, dead item and ended job make room at once", (t) => {
  const store = new Store(1_000);
  store.submit(job("a", 5));
  store.submit(job("b", 5));
  store.record("a", 0);
  store.record("a", 0);
  t.is(store.waitingTokens, 900, "the second result of an item is ignored");
  store.record("a", 1, "dead");
  t.is(store.waitingTokens, 800);
  store.apply({ kind: "end", job: "b" });
  store.apply({ kind: "end", job: "b" });
  store.record("b", 0);
  t.is(store.waitingTokens, 300);
  t.is(store.submit(job("c", 7)), "fits");
});

test("lowered or removed limit holds for new jobs only", (t) => {
  const store = new Store(1_000);
  store.submit(job("a", 8));
  store.table = routeTable(500, 2);
  t.is(store.submit(job("b", 1)), "refused");
  t.is(store.section.openJobs().length, 1, "accepted jobs stay");
  store.table = routeTable(undefined, 3);
  t.is(store.submit(job("b", 50)), "fits");
  store.table = routeTable(6_000, 4);
  t.is(store.submit(job("c", 3)), "refused");
  t.is(store.submit(job("c", 2)), "fits");
});

test("count survives a snapshot, also one without settled items", async (t) => {
  const store = new Store(1_000);
  store.submit(job("a", 5));
  store.submit(job("b", 5));
  store.record("a", 0);
  store.apply({ kind: "end", job: "b" });
  const snapshot = JSON.parse(JSON.stringify(await store.section.snapshot()));
  const restarted = new Store(1_000);
  await restarted.section.restore(snapshot);
  t.is(restarted.waitingTokens, 400);
  t.is(restarted.submit(job("c", 7)), "refused");
  t.is(restarted.submit(job("c", 6)), "fits");
});

test("proposal of an earlier term counts no longer", (t) => {
  const { limiter } = new Store(1_000);
  limiter.decide(job("a", 10), 1);
  t.is(limiter.decide(job("b", 1), 1).kind, "refused");
  t.is(limiter.decide(job("b", 1), 3).kind, "fits");
});

test("retry delay follows the rate at which items finish", (t) => {
  const store = new Store(2_000);
  store.submit(job("a", 20));
  // One item of 100 tokens in 500 ms.
  for (let item = 0; item < 10; item++) {
    store.clock.advance(500);
    store.record("a", item);
  }
  const refused = store.limiter.decide(job("b", 20), 1);
  t.like(refused, { kind: "refused", refusal: { waitingTokens: 1_000 } });
  if (refused.kind !== "refused") return;
  t.is(refused.refusal.retryMilliseconds, 5_000);
});

test("job above the limit by itself gets no retry delay", (t) => {
  const store = new Store(1_000);
  const refused = store.limiter.decide(job("a", 11), 1);
  t.like(refused, {
    kind: "refused",
    refusal: { retryMilliseconds: undefined },
  });
});

const JOB_IDS = ["a", "b", "c", "d", "e", "f"];
const anyJob = fc.constantFrom(...JOB_IDS);
const step = fc.oneof(
  { weight: 3, arbitrary: fc.tuple(fc.constant("submit" as const), anyJob) },
  { weight: 3, arbitrary: fc.tuple(fc.constant("record" as const), anyJob) },
  fc.tuple(fc.constant("end" as const), anyJob),
  fc.tuple(fc.constant("forget" as const), anyJob),
  fc.tuple(fc.constant("restart" as const), anyJob),
);

/** Counts the waiting tokens from all items. */
function recount(section: BulkSection): number {
  const jobs = JOB_IDS.flatMap((id) => section.job(id) ?? []);
  return jobs.filter(({ hasEnded }) => !hasEnded)
    .flatMap(({ job }) => job.items.map((item) => ({ job, item })))
    .filter(({ job, item }) => !section.hasResult(job.id, item.id))
    .reduce((sum, { item }) => sum + item.tokens, 0);
}

test("count equals a recount of all items after every step", async (t) => {
  const property = fc.asyncProperty(
    fc.array(fc.tuple(step, fc.nat({ max: 5 })), { minLength: 60 }),
    async (steps) => {
      let store = new Store(1_200);
      for (const [[kind, id], number] of steps) {
        if (kind === "submit") store.submit(job(id, number + 1));
        else if (kind === "record") store.record(id, number);
        else if (kind === "end") store.apply({ kind, job: id });
        else if (kind === "forget") store.apply({ kind, jobs: [id] });
        else {
          const state = await store.section.snapshot();
          store = new Store(1_200);
          await store.section.restore(JSON.parse(JSON.stringify(state)));
        }
        const expected = recount(store.section);
        if (store.waitingTokens !== expected || expected > 1_200) return false;
      }
      return true;
    },
  );
  await fc.assert(property, { seed: 19, numRuns: 200 });
  t.pass();
});

test("leaders of successive terms never grant the same room", (t) => {
  const action = fc.record({
    job: fc.nat({ max: 30 }),
    items: fc.integer({ min: 1, max: 6 }),
    // Number of pending entries that are committed after this action.
    commits: fc.nat({ max: 2 }),
    // How many pending entries the next leader has; null if none takes over.
    keeps: fc.option(fc.nat({ max: 3 }), { freq: 3 }),
  });
  const property = fc.property(
    fc.array(action, { minLength: 40 }),
    (actions) => {
      const stores = [new Store(1_200), new Store(1_200), new Store(1_200)];
      // Entries of the leader's log that are not committed yet.
      let pending: BulkJob[] = [];
      let term = 1;
      const commit = (count: number) => {
        for (const entry of pending.splice(0, count)) {
          for (const store of stores) {
            store.apply({ kind: "submit", job: entry });
          }
        }
      };
      for (const { job: number, items, commits, keeps } of actions) {
        const leader = stores[term % 3] as Store;
        const submitted = job(`job-${number}`, items);
        if (leader.limiter.decide(submitted, term).kind === "fits") {
          pending.push(submitted);
        }
        commit(commits);
        if (keeps !== null) {
          // The next leader commits what its log holds before it decides.
          pending = pending.slice(0, keeps);
          commit(pending.length);
          term += 1;
        }
        const { section } = stores[0] as Store;
        if (section.waitingTokens(() => true) > 1_200) return false;
      }
      return true;
    },
  );
  fc.assert(property, { seed: 19, numRuns: 300 });
  t.pass();
});
