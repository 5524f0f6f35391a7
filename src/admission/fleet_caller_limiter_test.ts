import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { TestRandom } from "../../testing/test_random.ts";
import type { CallerLimit } from "../service_routes/mod.ts";
import { CallerActivity } from "./caller_activity.ts";
import { CallerUse } from "./caller_use.ts";
import { FleetCallerLimiter } from "./fleet_caller_limiter.ts";

/** Sliding window in which the limit is judged, and its tolerances. */
const WINDOW_MILLISECONDS = 5_000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_REQUESTS = 20;

const STEP_MILLISECONDS = 10;

/** Entries, some of which place requests without the leader at times. */
class Fleet {
  readonly clock = new FakeClock();
  readonly random = new TestRandom(5);
  limit: CallerLimit;
  readonly admittedAt: number[] = [];
  readonly entries: { use: CallerUse; activity: CallerActivity }[];
  leader: FleetCallerLimiter;

  constructor(entries: number, limit: CallerLimit) {
    this.limit = limit;
    this.leader = this.#newLeader();
    const random = () => this.#next();
    this.entries = Array.from({ length: entries }, () => ({
      use: new CallerUse(this.clock, { instances: () => entries, random }),
      activity: new CallerActivity(0),
    }));
  }

  /** @param options.isTold whether entries tell what they last heard. */
  changeLeader(options: { isTold?: boolean } = {}): void {
    this.leader = this.#newLeader();
    if (!options.isTold) return;
    this.clock.advance(STEP_MILLISECONDS);
    for (const { use } of this.entries) this.leader.restore(use.levels());
  }

  /** Sends a request to an entry; returns whether it was admitted. */
  send(entry: number, hasLeader = true): boolean {
    const { use, activity } = this.entries[entry]!;
    const isAdmitted = hasLeader
      ? this.leader.mayAdmit("caller")
      : use.tryAdmit("caller", this.limit);
    if (!isAdmitted) return false;
    if (hasLeader) {
      this.leader.take("caller");
      use.record("caller", this.leader.levelOf("caller"));
    } else {
      activity.recordAdmitted("caller");
    }
    this.admittedAt.push(this.clock.monotonic());
    return true;
  }

  /** All entries report to the leader. */
  exchange(): void {
    for (const [index, { activity }] of this.entries.entries()) {
      const report = activity.report();
      if (!report) continue;
      this.leader.settle(`entry-${index}`, report);
      activity.confirm(report);
    }
  }

  /**
   * Sends requests for some seconds, at random times.
   *
   * @param options.entry chooses the entry; by default, a random one.
   */
  run(seconds: number, options: {
    perSecond: number;
    hasLeader?: boolean;
    entry?: () => number;
  }): { sent: number; admitted: number; ideal: number } {
    const { perSecond, hasLeader = true } = options;
    const entry = options.entry ??
      (() => this.random.integer(0, this.entries.length - 1));
    let sent = 0;
    let admitted = 0;
    // What one bucket for the whole fleet admits.
    let ideal = 0;
    let { burst: tokens } = this.limit;
    for (let time = 0; time < seconds * 1_000; time += STEP_MILLISECONDS) {
      let due = perSecond * STEP_MILLISECONDS / 1_000;
      while (due > 0 && this.#next() < due) {
        due -= 1;
        sent += 1;
        if (tokens >= 1) {
          ideal += 1;
          tokens -= 1;
        }
        if (this.send(entry(), hasLeader)) admitted += 1;
      }
      const { requestsPerSecond, burst } = this.limit;
      const added = requestsPerSecond * STEP_MILLISECONDS / 1_000;
      tokens = Math.min(burst, tokens + added);
      this.clock.advance(STEP_MILLISECONDS);
      if (hasLeader && time % 250 === 0) this.exchange();
    }
    return { sent, admitted, ideal };
  }

  /** Most requests that were admitted in a window. */
  get busiestWindow(): number {
    let most = 0;
    let first = 0;
    for (const [last, time] of this.admittedAt.entries()) {
      while ((this.admittedAt[first] ?? 0) < time - WINDOW_MILLISECONDS) {
        first += 1;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  get allowedInWindow(): number {
    const { requestsPerSecond, burst } = this.limit;
    const seconds = WINDOW_MILLISECONDS / 1_000;
    return (requestsPerSecond * seconds + burst) * (1 + TOLERATED_SHARE) +
      TOLERATED_REQUESTS;
  }

  #next(): number {
    return this.random.integer(0, 999_999) / 1_000_000;
  }

  #newLeader(): FleetCallerLimiter {
    return new FleetCallerLimiter(this.clock, () => this.limit);
  }
}

test("demand below the limit is served, through any entries", (t) => {
  for (const perSecond of [2, 40]) {
    const limit = { requestsPerSecond: perSecond, burst: perSecond };
    for (const entry of [undefined, () => 0]) {
      const fleet = new Fleet(98, limit);
      const { admitted, ideal } = fleet.run(30, {
        perSecond: perSecond / 1.6,
        ...(entry && { entry }),
      });
      t.true(admitted >= ideal - 1, `${admitted} of ${ideal}`);
    }
  }
});

test("caller that sends 7.5 times its usual is kept to its limit", (t) => {
  const fleet = new Fleet(98, { requestsPerSecond: 40, burst: 40 });
  fleet.run(10, { perSecond: 25 });
  const { admitted } = fleet.run(10, { perSecond: 7.5 * 25 });
  t.true(fleet.busiestWindow <= 5 * 40 + 40, String(fleet.busiestWindow));
  t.true(admitted >= 0.98 * 10 * 40, "what the limit allows is served");
});

test("limit holds while the leader is lost and replaced", (t) => {
  for (const requestsPerSecond of [1, 4, 8, 20, 190]) {
    const limit = { requestsPerSecond, burst: requestsPerSecond };
    const fleet = new Fleet(115, limit);
    const perSecond = 7.5 * requestsPerSecond / 1.6;
    fleet.run(8, { perSecond });
    fleet.run(2, { perSecond, hasLeader: false });
    fleet.changeLeader();
    fleet.run(6, { perSecond });
    fleet.run(1, { perSecond, hasLeader: false });
    fleet.changeLeader();
    fleet.run(6, { perSecond });
    t.true(
      fleet.busiestWindow <= fleet.allowedInWindow,
      `${fleet.busiestWindow} of ${fleet.allowedInWindow}`,
    );
  }
});

test("limit holds for a caller that turns hot as the leader is lost", (t) => {
  for (const requestsPerSecond of [4, 8, 20, 40, 190]) {
    const limit = { requestsPerSecond, burst: requestsPerSecond };
    const fleet = new Fleet(81, limit);
    const usual = requestsPerSecond / 1.6;
    fleet.run(8, { perSecond: usual });
    fleet.run(1.5, { perSecond: 7.5 * usual, hasLeader: false });
    fleet.changeLeader();
    fleet.run(6, { perSecond: 7.5 * usual });
    t.true(
      fleet.busiestWindow <= fleet.allowedInWindow,
      `${fleet.busiestWindow} of ${fleet.allowedInWindow}`,
    );
  }
});

// A burst above the usual rate meets a leader that has just been elected.
test("new leader continues the buckets of the earlier one", (t) => {
  const fleet = new Fleet(81, { requestsPerSecond: 200, burst: 200 });
  fleet.run(8, { perSecond: 125 });
  fleet.run(1.5, { perSecond: 125, hasLeader: false });
  fleet.changeLeader({ isTold: true });
  const { sent, admitted } = fleet.run(2, { perSecond: 230 });
  t.true(admitted >= 0.99 * sent, `${admitted} of ${sent}`);
  t.true(fleet.busiestWindow <= fleet.allowedInWindow);
});

test("limit holds if leaders change while a caller is hot", (t) => {
  for (const requestsPerSecond of [4, 20, 190]) {
    const limit = { requestsPerSecond, burst: requestsPerSecond };
    const fleet = new Fleet(81, limit);
    const perSecond = 7.5 * requestsPerSecond / 1.6;
    fleet.run(8, { perSecond: requestsPerSecond / 1.6 });
    for (let change = 0; change < 3; change++) {
      fleet.run(1, { perSecond });
      fleet.run(1.5, { perSecond, hasLeader: false });
      fleet.changeLeader({ isTold: true });
    }
    fleet.run(6, { perSecond });
    t.true(
      fleet.busiestWindow <= fleet.allowedInWindow,
      `${fleet.busiestWindow} of ${fleet.allowedInWindow}`,
    );
  }
});

/** Share of requests below the limit that is served without the leader. */
function servedWithoutLeader(entries: number, limit: number): number {
  const fleet = new Fleet(entries, { requestsPerSecond: limit, burst: limit });
  const perSecond = limit / 1.6;
  fleet.run(10, { perSecond });
  const { sent, admitted } = fleet.run(2, { perSecond, hasLeader: false });
  return admitted / sent;
}

test("callers go on at their rate while the leader is lost", (t) => {
  t.true(servedWithoutLeader(12, 190) >= 0.85);
});

// With many instances, each sees only a few requests of a caller.
test("large and small callers are served without the leader", (t) => {
  t.true(servedWithoutLeader(81, 190) >= 0.8);
  t.true(servedWithoutLeader(81, 2) >= 0.8);
});

test("callers of medium size are served without the leader", (t) => {
  t.true(servedWithoutLeader(81, 40) >= 0.8);
});

test("lowered limit holds a window later", (t) => {
  const fleet = new Fleet(50, { requestsPerSecond: 100, burst: 100 });
  fleet.run(10, { perSecond: 90 });
  fleet.limit = { requestsPerSecond: 10, burst: 10 };
  fleet.admittedAt.length = 0;
  fleet.run(15, { perSecond: 90 });
  t.true(fleet.busiestWindow <= 5 * 10 + 10, String(fleet.busiestWindow));
});

test("report that arrives twice is counted once", (t) => {
  const clock = new FakeClock();
  const limit = { requestsPerSecond: 1, burst: 10 };
  const limiter = new FleetCallerLimiter(clock, () => limit);
  const activity = new CallerActivity(0);
  t.true(limiter.mayAdmit("caller"));
  for (let count = 0; count < 6; count++) activity.recordAdmitted("caller");
  const report = activity.report()!;
  limiter.settle("entry", report);
  limiter.settle("entry", report);
  t.is(limiter.usage()[0]?.available, 4);
  activity.recordUnserved("caller");
  t.is(activity.report(), report, "sent again until it is confirmed");
  activity.confirm(report);
  limiter.settle("entry", activity.report()!);
  t.is(limiter.usage()[0]?.available, 5, "what was not served is given back");
});

// Guards against callers that go beyond their limits through an instance that
// was restarted with its clock set back.
test("reports of a restarted instance count", (t) => {
  const limit = { requestsPerSecond: 1, burst: 10 };
  const limiter = new FleetCallerLimiter(new FakeClock(), () => limit);
  const settle = (process: string, batch: number) =>
    limiter.settle("entry", { batch, counts: [["caller", 2]] }, process);
  settle("first", 100);
  settle("second", 40);
  t.is(limiter.usage()[0]?.available, 6);
  settle("second", 40);
  // A partition has held up the last report of the first process.
  settle("first", 101);
  t.is(limiter.usage()[0]?.available, 4);
});

test("refused requests are told to return one token apart", (t) => {
  const clock = new FakeClock();
  const limit = { requestsPerSecond: 4, burst: 1 };
  const limiter = new FleetCallerLimiter(clock, () => limit);
  limiter.take("caller");
  t.false(limiter.mayAdmit("caller"));
  const delays = [1, 2, 3].map(() => Math.round(limiter.refuse("caller")));
  t.deepEqual(delays, [250, 500, 750]);
  for (let count = 0; count < 50; count++) limiter.refuse("caller");
  t.true(limiter.refuse("caller") <= 2_000);
});

test("caller without a limit is not limited", (t) => {
  const limiter = new FleetCallerLimiter(new FakeClock(), () => undefined);
  for (let count = 0; count < 1_000; count++) {
    t.true(limiter.mayAdmit("caller"));
    limiter.take("caller");
  }
});
