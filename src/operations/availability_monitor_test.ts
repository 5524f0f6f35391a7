import test from "ava";
import { err, ok } from "neverthrow";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { mayHaveRun, notRun } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { OperationLedger } from "./operation_ledger.ts";

/** Longest time that a request may wait for a quorum, in milliseconds. */
const UNAVAILABLE_AFTER_MILLISECONDS = 3_000;

/** Control client that gets no answer while there is no quorum. */
class FakeVoters {
  hasQuorum = true;
  begun = 0;
  /** Proposals without quorum; every other one fails without delay. */
  failures = 0;
  #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  async propose(_: unknown, __: unknown, options: { deadline: number }) {
    if (this.hasQuorum) {
      this.begun += 1;
      return ok({ kind: "begun" });
    }
    this.failures += 1;
    if (this.failures % 2 === 1) return err(notRun("unavailable", "no leader"));
    await this.#clock.sleepUntil(options.deadline as never);
    return err(mayHaveRun("deadline-exceeded", "no answer"));
  }

  async call(_: unknown, __: unknown, options: { deadline: number }) {
    if (this.hasQuorum) return ok({});
    await this.#clock.sleepUntil(options.deadline as never);
    return err(mayHaveRun("deadline-exceeded", "no answer"));
  }
}

function setUp() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const voters = new FakeVoters(clock);
  const ledger = new OperationLedger(voters as unknown as IControlClient, {
    clock,
    events: new SilentEventLog(),
  });
  let next = 0;
  const begin = () =>
    ledger.begin({ caller: "c", key: `k${next++}`, attempt: "1" }, {
      deadline: clock.deadlineIn(30_000),
      fingerprint: "f",
    });
  return { time, voters, ledger, begin };
}

test("requests wait at most 3 s for a quorum during an outage", async (t) => {
  const { time, voters, ledger, begin } = setUp();
  voters.hasQuorum = false;
  const ended: number[] = [];
  for (let sent = 0; sent < 20; sent++) {
    void begin().then((begun) => {
      t.is(begun._unsafeUnwrapErr().code, "unavailable");
      ended.push(time.now);
    });
    await time.advance(100);
  }
  await time.advance(UNAVAILABLE_AFTER_MILLISECONDS);
  t.is(ended.length, 20);
  t.true(Math.max(...ended) <= UNAVAILABLE_AFTER_MILLISECONDS);
  ledger.dispose();
});

test("requests are refused immediately during a known outage", async (t) => {
  const { time, voters, ledger, begin } = setUp();
  voters.hasQuorum = false;
  void begin();
  await time.advance(2 * UNAVAILABLE_AFTER_MILLISECONDS);
  const startedAt = time.now;
  const refused = (await begin())._unsafeUnwrapErr();
  t.is(time.now, startedAt);
  t.is(refused.code, "unavailable");
  t.is(refused.verdict, "not-run");
  t.truthy(refused.retryAfterSeconds);
  ledger.dispose();
});

test("requests begin again after an outage", async (t) => {
  const { time, voters, ledger, begin } = setUp();
  voters.hasQuorum = false;
  void begin();
  await time.advance(10_000);
  voters.hasQuorum = true;
  await time.advance(1_500);
  const begun = await begin();
  t.is(begun.unwrapOr(undefined)?.kind, "begun");
  ledger.dispose();
});
