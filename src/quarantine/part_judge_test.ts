import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { PartJudge } from "./part_judge.ts";
import { PartMonitor } from "./part_monitor.ts";

/** Entries that exchange reports with the leader every 100 ms. */
class Fleet {
  readonly time = new VirtualTime();
  readonly clock = new VirtualClock(this.time);
  readonly events = new SilentEventLog();
  readonly entries = [0, 1, 2].map(() => this.createEntry());
  judge = this.createJudge();
  term = 1;
  #sent = 0;

  createEntry(): PartMonitor {
    return new PartMonitor(this.clock, { events: this.events });
  }

  createJudge(): PartJudge {
    return new PartJudge(this.clock, { events: this.events });
  }

  /** Answers requests with these parts at all entries. */
  complete(count: number, parts: string[]): void {
    for (let index = 0; index < count; index++) {
      this.entries[index % this.entries.length]?.recordCompletion(parts);
    }
  }

  /** Crashes an engine under a new request at each of the entries. */
  crash(engine: string, parts: string[]): void {
    const request = `r${this.#sent++}`;
    const entry = this.entries[this.#sent % this.entries.length];
    entry?.recordBrokenRun({ engine, request, parts });
  }

  exchange(entry: PartMonitor): void {
    const { term } = this;
    const report = entry.report(term);
    const name = String(this.entries.indexOf(entry));
    const verdicts = report
      ? this.judge.receive(name, report.message)
      : this.judge.findNews();
    entry.recordLeaderContact();
    if (verdicts) entry.applyVerdicts(verdicts, { term, report });
  }

  async exchangeFor(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      await this.time.advance(100);
      for (const entry of this.entries) this.exchange(entry);
    }
  }

  refusedBy(parts: string[]): number {
    return this.entries
      .filter((entry) => entry.findQuarantined(parts) !== undefined).length;
  }
}

async function fleetWithHarmfulPart(): Promise<Fleet> {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  fleet.complete(60, ["caller", "sound"]);
  for (const engine of ["a", "b", "c", "d", "e"]) {
    fleet.crash(engine, ["caller", "bad"]);
  }
  await fleet.exchangeFor(1_000);
  return fleet;
}

// Guards against requests that crash one engine after the other (inc-3a1e).
test("all entries refuse a part within a second of its fifth crash", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  t.is(fleet.refusedBy(["caller", "bad"]), 3);
  t.is(fleet.refusedBy(["caller", "sound"]), 0);
});

test("part that another entry has answered is not refused", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  fleet.complete(60, ["caller", "sound"]);
  fleet.entries[2]?.recordCompletion(["caller", "rare"]);
  for (const engine of ["a", "b", "c", "d", "e", "f"]) {
    fleet.crash(engine, ["caller", "rare"]);
  }
  await fleet.exchangeFor(3_000);
  t.is(fleet.refusedBy(["caller", "rare"]), 0);
});

test("new leader and restarted entry learn of the quarantine", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  fleet.judge = fleet.createJudge();
  fleet.term = 2;
  fleet.entries[0] = fleet.createEntry();
  // The entry that knows nothing reaches the new leader first.
  fleet.exchange(fleet.entries[0]);
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(["caller", "bad"]), 3);
});

test("entry out of touch keeps refusing", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  await fleet.time.advance(30_000);
  t.is(fleet.refusedBy(["caller", "bad"]), 3);
});

test("a late answer releases a part everywhere", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  fleet.entries[1]?.recordCompletion(["caller", "bad"]);
  await fleet.exchangeFor(2_200);
  t.is(fleet.refusedBy(["caller", "bad"]), 0);
});

test("quarantine ends after ten minutes", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  await fleet.time.advance(590_000);
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(["caller", "bad"]), 3);
  await fleet.time.advance(20_000);
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(["caller", "bad"]), 0);
});

test("crashes a minute apart add up while no request is answered", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  for (const engine of ["a", "b", "c", "d", "e"]) {
    fleet.complete(20, ["caller", "sound"]);
    fleet.crash(engine, ["caller", "bad"]);
    await fleet.exchangeFor(50_000);
  }
  t.is(fleet.refusedBy(["caller", "bad"]), 3);
});

test("crashes before an answer are no evidence against a part", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  for (const engine of ["a", "b", "c", "d"]) {
    fleet.crash(engine, ["caller", "rare"]);
  }
  await fleet.exchangeFor(1_000);
  fleet.complete(20, ["caller", "sound"]);
  fleet.complete(1, ["caller", "rare"]);
  await fleet.exchangeFor(70_000);
  fleet.complete(60, ["caller", "sound"]);
  fleet.crash("e", ["caller", "rare"]);
  await fleet.exchangeFor(3_000);
  t.is(fleet.refusedBy(["caller", "rare"]), 0);
  for (const engine of ["f", "g", "h", "i"]) {
    fleet.crash(engine, ["caller", "rare"]);
  }
  await fleet.exchangeFor(3_000);
  t.is(fleet.refusedBy(["caller", "rare"]), 3);
});

test("entries without news report once a second", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(2_000);
  const [entry] = fleet.entries;
  let reports = 0;
  for (let passed = 0; passed < 5_000; passed += 100) {
    await fleet.time.advance(100);
    if (entry?.report(fleet.term)) reports += 1;
  }
  t.is(reports, 5);
});

const REPEATED = ["caller", "content:bad", "content:bad:headers"];

// Guards against a request that its caller repeats and that crashes one engine
// after the other (inc-675b).
test("all entries refuse a request within a second of its third crash", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  fleet.complete(60, ["caller", "content:sound"]);
  for (const engine of ["a", "b", "c"]) fleet.crash(engine, REPEATED);
  await fleet.exchangeFor(1_000);
  t.is(fleet.refusedBy(REPEATED), 3);
  t.is(fleet.refusedBy(["caller", "content:sound"]), 0);
  fleet.judge = fleet.createJudge();
  fleet.term = 2;
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(REPEATED), 3);
});

// Guards against refusing requests whose answers a faulty engine breaks off.
test("engine that is healthy after a broken run has not crashed", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  for (const engine of ["a", "b", "c"]) {
    fleet.crash(engine, REPEATED);
    await fleet.exchangeFor(300);
    fleet.judge.recordAlive(engine, fleet.clock.monotonic());
  }
  await fleet.exchangeFor(2_000);
  t.is(fleet.refusedBy(REPEATED), 0);
});

test("engine that is back after seconds has crashed", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  for (const engine of ["a", "b", "c"]) {
    fleet.crash(engine, REPEATED);
    await fleet.exchangeFor(2_000);
    fleet.judge.recordAlive(engine, fleet.clock.monotonic());
  }
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(REPEATED), 3);
});

test("entry out of touch refuses a request by its own crashes", async (t) => {
  const fleet = new Fleet();
  await fleet.exchangeFor(200);
  await fleet.time.advance(2_000);
  const [entry] = fleet.entries;
  for (const engine of ["a", "b", "c"]) {
    t.is(entry?.findQuarantined(REPEATED), undefined);
    entry?.recordBrokenRun({ engine, request: engine, parts: REPEATED });
  }
  t.not(entry?.findQuarantined(REPEATED), undefined);
  t.is(entry?.findQuarantined(["caller", "content:other"]), undefined);
  // An answer elsewhere is known to the leader only.
  fleet.entries[1]?.recordCompletion(REPEATED);
  await fleet.exchangeFor(2_000);
  t.is(fleet.refusedBy(REPEATED), 0);
});

// Guards against parts that an instance without contact puts back into
// quarantine after they were released.
test("part that was answered is not quarantined by an old report", async (t) => {
  const fleet = await fleetWithHarmfulPart();
  const outdated = fleet.createEntry();
  const term = 1;
  outdated.applyVerdicts(fleet.judge.findNews()!, { term, report: undefined });
  fleet.complete(1, ["caller", "bad"]);
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(["caller", "bad"]), 0);
  fleet.judge.receive("outdated", outdated.report(term)!.message);
  await fleet.exchangeFor(300);
  t.is(fleet.refusedBy(["caller", "bad"]), 0);
});
