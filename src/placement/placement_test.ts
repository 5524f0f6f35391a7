import test from "ava";
import { unlimitedEngines } from "../../testing/unlimited_engines.ts";
import { ENGINE_SLOTS, listedEngine } from "../../testing/listed_engine.ts";
import { expectedWait } from "./engine_chooser.ts";
import { type IPlacementInput, place } from "./placement.ts";
import type { IEngineView } from "./types.ts";

function view(
  id: string,
  live: number,
  changes: Partial<IEngineView> & { zone?: string; leaving?: boolean } = {},
): IEngineView {
  const { zone = "a", leaving = false, ...others } = changes;
  return {
    engine: listedEngine(id, { failureDomain: zone, isLeaving: leaving }),
    live,
    bulk: 0,
    isSuspect: false,
    meanMilliseconds: 800,
    ...others,
  };
}

const REQUEST: IPlacementInput = {
  failureDomain: "a",
  objectiveMilliseconds: 300,
  remainingMilliseconds: 5_000,
  isReturned: false,
  excluded: new Set(),
  random: 0,
  limiter: unlimitedEngines,
};

function chosen(views: IEngineView[], request = REQUEST): string {
  const placement = place(request, views);
  return placement.kind === "engine" ? placement.view.engine.id : "none";
}

test("the least loaded engine is chosen", (t) => {
  t.is(chosen([view("one", 3), view("two", 1), view("three", 2)]), "two");
});

test("at equal load, an engine in the same failure domain is chosen", (t) => {
  const views = [view("far", 1, { zone: "b" }), view("near", 1)];
  t.is(chosen(views), "near");
});

test("leaving, failed and suspect engines are avoided", (t) => {
  const views = [
    view("leaving", 0, { leaving: true }),
    view("failed", 0),
    view("suspect", 0, { isSuspect: true }),
    view("busy", 5),
  ];
  const excluded = new Set(["failed"]);
  t.is(chosen(views, { ...REQUEST, excluded }), "busy");
});

test("a suspect engine is used if there is no other", (t) => {
  t.is(chosen([view("suspect", 0, { isSuspect: true })]), "suspect");
  t.is(place(REQUEST, []).kind, "no-engine");
});

test("at full load, the engine with batch items to preempt is chosen", (t) => {
  // All slots are in use; at one engine, most of them by batch items.
  const views = [
    view("live", 7, { bulk: 1 }),
    view("batch", 2, { bulk: 6 }),
  ];
  t.is(chosen(views), "batch");
  t.is(expectedWait(views[1]!), 0);
});

test("request is refused once the expected wait is too long", (t) => {
  const full = view("full", ENGINE_SLOTS);
  t.is(chosen([full]), "full");
  t.is(expectedWait(full), 100);
  const crowded = view("crowded", ENGINE_SLOTS + 2);
  const placement = place(REQUEST, [crowded]);
  t.deepEqual(placement, {
    kind: "refused",
    retryMilliseconds: 300,
    missing: "slot",
  });
});

test("a retried request may wait longer than a new one", (t) => {
  const crowded = view("crowded", ENGINE_SLOTS + 4);
  t.is(place(REQUEST, [crowded]).kind, "refused");
  const returned = { ...REQUEST, isReturned: true };
  t.is(place(returned, [crowded]).kind, "engine");
});

test("a request never waits beyond its remaining time", (t) => {
  const late = { ...REQUEST, isReturned: true, remainingMilliseconds: 200 };
  t.is(place(late, [view("crowded", ENGINE_SLOTS + 4)]).kind, "refused");
});

/** Limiter of engines that take no request before a number of ms. */
function limitedEngines(waits: Record<string, number>) {
  return {
    isLimited: (id: string) => id in waits,
    waitMilliseconds: (id: string) => waits[id] ?? 0,
    isScarce: (id: string) => id in waits,
  };
}

test("engines without a limit are used first while they have slots", (t) => {
  const limiter = limitedEngines({ limited: 0 });
  const request = { ...REQUEST, limiter };
  const free = [view("limited", 0), view("other", ENGINE_SLOTS - 1)];
  t.is(chosen(free, request), "other");
  const full = [view("limited", 0), view("other", ENGINE_SLOTS)];
  t.is(chosen(full, request), "limited");
});

test("request beyond the limits of all engines is refused", (t) => {
  const limiter = limitedEngines({ one: 1_900, two: 1_700 });
  const views = [view("one", 0), view("two", 0)];
  t.deepEqual(place({ ...REQUEST, limiter }, views), {
    kind: "refused",
    retryMilliseconds: 1_700,
    missing: "rate",
  });
});

// A burst above the limits lasts for seconds: if requests that return waited
// longer than new ones, the queues would make all of them late.
test("burst above the limits: requests that return queue no longer", (t) => {
  const limiter = limitedEngines({ limited: 900 });
  const views = [view("limited", 0), view("crowded", ENGINE_SLOTS + 4)];
  const returned = { ...REQUEST, limiter, isReturned: true };
  t.is(place(returned, views).kind, "refused");
  t.is(place({ ...returned, hasBegun: true }, views).kind, "engine");
  const unlimited = { ...REQUEST, isReturned: true };
  t.is(place(unlimited, views.slice(1)).kind, "engine");
});

test("burst above the limits: callers are asked to return after it", (t) => {
  const limiter = limitedEngines({ limited: 100 });
  const views = [view("limited", 0), view("crowded", ENGINE_SLOTS + 4)];
  const retries = [0, 0.5, 0.99].map((random) => {
    const placement = place({ ...REQUEST, limiter, random }, views);
    return placement.kind === "refused" ? placement.retryMilliseconds : 0;
  });
  t.true(retries.every((milliseconds) => milliseconds >= 1_200));
  t.is(new Set(retries).size, 3);
});

// Long prompts: an engine crashes if its requests exceed its memory.
test("engine without memory for the request is not chosen", (t) => {
  const views = [
    view("crowded", 1, { liveTokens: 95_000, memoryTokens: 100_000 }),
    view("busy", 6, { liveTokens: 30_000, memoryTokens: 100_000 }),
  ];
  t.is(chosen(views, { ...REQUEST, tokens: 20_000 }), "busy");
  t.is(chosen(views, { ...REQUEST, tokens: 5_000 }), "crowded", "just fits");
  t.deepEqual(place({ ...REQUEST, tokens: 80_000 }, views), {
    kind: "refused",
    retryMilliseconds: 150,
    missing: "memory",
  });
  t.is(chosen(views), "crowded", "requests without a size are not held back");
  const unknown = [view("unknown", 0, { liveTokens: 95_000 })];
  t.is(chosen(unknown, { ...REQUEST, tokens: 80_000 }), "unknown");
});

// Guards against requests that leave a silent engine, which may go on, for one
// at which they would wait or be refused.
test("a silent engine is left for a free and healthy one only", (t) => {
  const request = { ...REQUEST, isAlternative: true, hasBegun: true };
  const full = view("full", ENGINE_SLOTS);
  const suspect = view("suspect", 0, { isSuspect: true });
  const crowded = view("crowded", 1, { liveTokens: 900, memoryTokens: 1_000 });
  const tokens = 200;
  t.is(chosen([full, suspect, crowded], { ...request, tokens }), "none");
  t.is(chosen([full, view("free", 1)], { ...request, tokens }), "free");
  t.is(chosen([full], { ...REQUEST, hasBegun: true }), "full");
});
