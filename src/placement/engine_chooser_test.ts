import test from "ava";
import { ENGINE_SLOTS, listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import {
  expectedWait,
  type IEngineChooser,
  LeastCostChooser,
  LeastLoadedChooser,
} from "./engine_chooser.ts";
import type { IEngineView } from "./types.ts";

const COSTS = { crossingMilliseconds: 20, preemptionMilliseconds: 60 };

/** Choices that the version before choosers made for a seeded sequence. */
const RECORDED_CHOICES = "a0 b1 a2 b1 a2 c3 a2 c3 b1 a0 a0 a0 " +
  "a0 a2 a0 a0 b1 a2 b1 b4 a2 a2 b4 b4";

const CHOOSER = new LeastCostChooser(COSTS);

function view(
  id: string,
  live: number,
  changes: Partial<IEngineView> & { zone?: string } = {},
): IEngineView {
  const { zone = "a", ...others } = changes;
  return {
    engine: listedEngine(id, { failureDomain: zone }),
    live,
    bulk: 0,
    isSuspect: false,
    meanMilliseconds: 800,
    ...others,
  };
}

function chosen(
  views: readonly IEngineView[],
  chooser: IEngineChooser = CHOOSER,
): string | undefined {
  return chooser.choose({ failureDomain: "a", random: 0 }, views)?.engine.id;
}

/** Engines of several failure domains that hold their requests for good. */
class Domains {
  readonly views: IEngineView[];

  constructor(domains: readonly string[], engines: number) {
    this.views = domains.flatMap((zone) =>
      Array.from(
        { length: engines },
        (_, index) => view(`${zone}-${index}`, 0, { zone }),
      )
    );
  }

  /** Places requests of a domain; returns where they went, by domain. */
  send(
    failureDomain: string,
    requests: number,
    options: { usable?: (view: IEngineView) => boolean } = {},
  ): Map<string, number> {
    const counts = new Map<string, number>();
    const random = new TestRandom(3);
    for (let sent = 0; sent < requests; sent++) {
      const choice = {
        failureDomain,
        random: random.integer(0, 999) / 1_000,
      };
      const usable = this.views.filter(options.usable ?? (() => true));
      const found = CHOOSER.choose(choice, usable);
      if (!found) break;
      const index = this.views.indexOf(found);
      this.views[index] = { ...found, live: found.live + 1 };
      const domain = found.engine.failureDomain;
      counts.set(domain, (counts.get(domain) ?? 0) + 1);
    }
    return counts;
  }

  liveOf(domain: string): number {
    return this.views
      .filter(({ engine }) => engine.failureDomain === domain)
      .reduce((sum, { live }) => sum + live, 0);
  }
}

test("equal failure domains: nothing crosses", (t) => {
  const domains = new Domains(["a", "b", "c"], 4);
  for (let round = 0; round < 28; round++) {
    for (const domain of ["a", "b", "c"]) {
      t.deepEqual([...domains.send(domain, 1)], [[domain, 1]]);
    }
  }
});

test("step in one failure domain: what exceeds its slots crosses", (t) => {
  const domains = new Domains(["a", "b", "c"], 4);
  const counts = domains.send("a", 4 * ENGINE_SLOTS + 12);
  t.true(counts.get("a")! >= 4 * ENGINE_SLOTS);
  const away = [counts.get("b") ?? 0, counts.get("c") ?? 0];
  t.true(Math.abs(away[0]! - away[1]!) <= 1, `spread evenly: ${away}`);
  t.true(away[0]! + away[1]! >= 8);
});

test("failure domain lost: the others share its load", (t) => {
  const domains = new Domains(["a", "b", "c", "d"], 4);
  domains.send("b", 20);
  const usable = ({ engine }: IEngineView) => engine.failureDomain !== "a";
  const counts = domains.send("a", 44, { usable });
  t.true(counts.get("c")! > (counts.get("b") ?? 0), "the emptiest first");
  const live = ["b", "c", "d"].map((domain) => domains.liveOf(domain));
  t.true(Math.max(...live) - Math.min(...live) <= 4, `even load: ${live}`);
});

test("other failure domains keep places for their own callers", (t) => {
  const domains = new Domains(["a", "b"], 1);
  domains.send("a", ENGINE_SLOTS);
  domains.send("b", ENGINE_SLOTS - 1);
  // Waiting at home costs 100 ms here, less than twice the price of the way.
  const costly = new LeastCostChooser({ ...COSTS, crossingMilliseconds: 60 });
  t.is(chosen(domains.views, costly), "a-0");
  const emptier = [domains.views[0]!, view("b-0", 2, { zone: "b" })];
  t.is(chosen(emptier, costly), "b-0");
});

test("all full: nothing crosses", (t) => {
  const views = [
    view("near", ENGINE_SLOTS),
    view("far", ENGINE_SLOTS, { zone: "b" }),
  ];
  t.is(chosen(views), "near");
});

test("failure domain that comes and goes is used while it is there", (t) => {
  const near = view("near", 3);
  const far = view("far", 0, { zone: "b" });
  for (let round = 0; round < 4; round++) {
    t.is(chosen([near, far]), "near");
    t.is(chosen([far]), "far");
  }
});

test("free slot elsewhere is cheaper than preempting an item", (t) => {
  const near = view("near", 2, { bulk: ENGINE_SLOTS - 2 });
  t.is(chosen([near, view("far", 3, { zone: "b" })]), "far");
  t.is(chosen([near, view("far", ENGINE_SLOTS, { zone: "b" })]), "near");
});

test("engines of several speeds: the one free first is chosen", (t) => {
  const slow = view("slow", ENGINE_SLOTS, { meanMilliseconds: 1_300 });
  const fast = view("fast", ENGINE_SLOTS + 1, { meanMilliseconds: 450 });
  t.true(expectedWait(fast) < expectedWait(slow));
  t.is(chosen([slow, fast]), "fast");
  t.is(chosen([slow, fast], new LeastLoadedChooser()), "slow");
});

test("least loaded: choices are as before", (t) => {
  const random = new TestRandom(11);
  const choices: string[] = [];
  for (let round = 0; round < 24; round++) {
    const views = ["a", "b", "a", "c", "b"].map((zone, index) =>
      view(`${zone}${index}`, random.integer(0, 10), {
        zone,
        bulk: random.integer(0, 3),
      })
    );
    const choice = { failureDomain: "a", random: random.integer(0, 99) / 100 };
    const found = new LeastLoadedChooser().choose(choice, views);
    choices.push(found?.engine.id ?? "none");
  }
  t.is(choices.join(" "), RECORDED_CHOICES);
});
