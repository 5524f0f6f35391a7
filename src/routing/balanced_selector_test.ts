import test from "ava";
import {
  configurationOf,
  DispatcherFixture,
} from "../../testing/dispatcher_fixture.ts";
import type { Deadline } from "../common/mod.ts";
import { expectedStreams, scoreEngine } from "./engine_score.ts";
import { SeededRandom } from "./random.ts";
import { TargetHealth } from "./target_health.ts";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";

const SEED = 3;
const PORTS = [1, 2, 3, 4, 5, 6, 7, 8];
const PROMPT = "the same long beginning ".repeat(20);

function request(prompt = "p", exclude: string[] = []) {
  const kind = "live" as const;
  return { service: "alerts", kind, prompt, exclude: new Set(exclude) };
}

function choose(
  fixture: DispatcherFixture,
  count: number,
  prompt = "p",
): string[] {
  return Array.from({ length: count }, () => {
    const chosen = fixture.selector.select(request(prompt))._unsafeUnwrap();
    return chosen.engine.id;
  });
}

test("streams are spread evenly", (t) => {
  const fixture = new DispatcherFixture(configurationOf(PORTS), { seed: SEED });
  const counts = new Map<string, number>();
  for (const id of choose(fixture, 160)) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 23, `${[...counts.values()]}`);
});

test("requests with one prefix share engines, but overload none", (t) => {
  const fixture = new DispatcherFixture(configurationOf(PORTS), { seed: SEED });
  const chosen = choose(fixture, 160, PROMPT);
  const counts = PORTS.map((_, index) =>
    chosen.filter((id) => id === `engine-${index}`).length
  );
  t.is(new Set(chosen.slice(0, 4)).size, 2);
  t.true(Math.max(...counts) <= 27, `${counts}`);
});

test("instances choose the same engines for a prefix", (t) => {
  const engines = [1, 2, 3].map((seed) => {
    const fixture = new DispatcherFixture(configurationOf(PORTS), { seed });
    return choose(fixture, 2, PROMPT).sort().join();
  });
  t.is(new Set(engines).size, 1);
});

test("a leaving engine gets no requests", (t) => {
  const availability = {
    stateOf: (id: string) => id === "engine-0" ? "leaving" : "live",
    onChange: () => ({ dispose: () => {} }),
  } as const;
  const fixture = new DispatcherFixture(configurationOf([1, 2]), {
    seed: SEED,
    availability,
  });
  t.deepEqual(new Set(choose(fixture, 20)), new Set(["engine-1"]));
  t.true(fixture.selector.select(request("p", ["engine-1"])).isErr());
});

test("an ejected engine gets no requests", (t) => {
  const fixture = new DispatcherFixture(configurationOf([1, 2]), {
    seed: SEED,
  });
  for (let count = 0; count < 3; count++) {
    fixture.health.reportFailure("engine-0");
  }
  t.deepEqual(new Set(choose(fixture, 20)), new Set(["engine-1"]));
});

test("a burst on outdated counts does not overload one engine", (t) => {
  const counts = new Map<string, number>();
  for (let seed = 1; seed <= 12; seed++) {
    // All instances have received the same counts, by which the first engine
    // has less load than the others.
    const fixture = new DispatcherFixture(configurationOf(PORTS), {
      seed,
      load: (activity) => ({
        loadOf: (id) => ({
          ...LOAD,
          ownLive: activity.liveStreams(id),
          otherLive: id === "engine-0" ? 0 : 12,
          receivedAt: 0 as Deadline,
        }),
      }),
    });
    for (const id of choose(fixture, 12)) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  t.true((counts.get("engine-0") ?? 0) <= 27, `${counts.get("engine-0")}`);
});

test("an ejected target gets one probe at a time", (t) => {
  const clock = new SystemClock();
  let now = 0;
  clock.monotonic = () => now as Deadline;
  clock.deadlineIn = (milliseconds) => (now + milliseconds) as Deadline;
  clock.isPast = (deadline) => now >= deadline;
  const random = new SeededRandom(SEED);
  const events = new SilentEventLog();
  const health = new TargetHealth({ clock, random, events });
  const fail = () => health.reportFailure("x");
  fail();
  fail();
  t.is(health.stateOf("x"), "healthy");
  fail();
  t.is(health.stateOf("x"), "ejected");
  now = 1_500;
  t.is(health.stateOf("x"), "probe");
  const probe = health.beginProbe("x");
  t.is(health.stateOf("x"), "ejected");
  fail();
  probe.dispose();
  now = 3_000;
  t.is(health.stateOf("x"), "ejected");
  now = 6_000;
  health.beginProbe("x");
  health.reportSuccess("x");
  t.is(health.stateOf("x"), "healthy");
});

const LOAD = {
  ownLive: 4,
  otherLive: 3,
  batch: 2,
  receivedAt: undefined,
  reported: undefined,
};

function inputs(running: number, age: number) {
  const [engine] = configurationOf([1]).current?.enginesOf("alerts") ?? [];
  if (!engine) throw new Error("no engine");
  const report = {
    running,
    waiting: 0,
    stepMilliseconds: 5,
    cacheUse: 0,
    ageMilliseconds: age,
  };
  return {
    engine,
    kind: "live" as const,
    load: LOAD,
    report: { report, receivedAt: 0 as Deadline },
    isSameDomain: true,
    isPreferred: false,
    now: 0 as Deadline,
  };
}

test("older load reports raise the expected streams less", (t) => {
  t.is(expectedStreams(inputs(0, 0)), 9);
  t.is(expectedStreams(inputs(19, 0)), 19);
  t.is(expectedStreams(inputs(19, 500)), 14);
  t.true(expectedStreams(inputs(19, 60_000)) < 9.001);
  t.is(expectedStreams(inputs(1e9, 0)), 9 + 32);
});

test("at equal load, the engine with less batch is preferred", (t) => {
  const base = inputs(0, 0);
  const batch = { ...LOAD, otherLive: 2, batch: 3 };
  t.true(scoreEngine(base) < scoreEngine({ ...base, load: batch }));
});
