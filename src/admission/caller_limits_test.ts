import test from "ava";
import fc from "fast-check";
import { ok } from "neverthrow";
import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import { type CallerRecord, callerSchema } from "../configuration/mod.ts";
import { CallerLimits } from "./caller_limits.ts";
import { LimitLender } from "./limit_lender.ts";

const SEED = 5;
const RUNS = 200;
const SECONDS = 20;

/** Clock that the test advances. */
class ManualClock implements IClock {
  now = 0;
  monotonic = () => this.now as Deadline;
  wall = () => this.now;
  deadlineIn = (milliseconds: number) => (this.now + milliseconds) as Deadline;
  remaining = (deadline: Deadline) => Math.max(0, deadline - this.now);
  isPast = (deadline: Deadline) => this.now >= deadline;
  sleepUntil = () => Promise.resolve();
}

function callerWith(slots: number, rate: number): CallerRecord {
  return callerSchema.parse({
    name: "station",
    group: "live",
    keySha256: "0".repeat(64),
    limits: { concurrentRequests: slots, requestsPerSecond: rate },
  });
}

function fleet(count: number, caller: CallerRecord, clock: IClock) {
  const lender = new LimitLender(clock);
  return Array.from({ length: count }, (_, index) =>
    new CallerLimits(caller, {
      instances: count,
      borrow: (borrowing) =>
        Promise.resolve(ok(lender.lend(caller, `i${index}`, borrowing))),
    }, clock));
}

test("the limit of concurrent requests holds over the fleet", async (t) => {
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 13 }),
    fc.integer({ min: 1, max: 60 }),
    fc.array(fc.tuple(fc.nat(), fc.boolean(), fc.nat({ max: 900 })), {
      maxLength: 120,
    }),
    async (count, slots, steps) => {
      const clock = new ManualClock();
      const caller = callerWith(slots, 1_000_000);
      const limits = fleet(count, caller, clock);
      const held: IDisposable[] = [];
      for (const [choice, begins, pause] of steps) {
        clock.now += pause;
        for (const each of limits) await each.renew();
        if (!begins) held.splice(choice % (held.length + 1), 1)[0]?.dispose();
        const ticket = begins && await limits[choice % count]?.admit(caller);
        if (ticket && ticket.isOk()) held.push(ticket.value);
        if (held.length > slots) throw new Error("limit exceeded");
      }
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: RUNS }));
});

test("the rate limit holds over the fleet", async (t) => {
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 13 }),
    fc.integer({ min: 1, max: 200 }),
    fc.array(fc.nat({ max: 12 }), { minLength: 1, maxLength: 5 }),
    async (count, rate, busy) => {
      const clock = new ManualClock();
      const caller = callerWith(1_000_000, rate);
      const limits = fleet(count, caller, clock);
      let admitted = 0;
      for (let step = 0; step < SECONDS * 10; step++) {
        clock.now += 100;
        for (const choice of busy) {
          for (let sent = 0; sent < Math.ceil(rate / 10); sent++) {
            const ticket = await limits[choice % count]?.admit(caller);
            if (ticket?.isOk()) admitted += 1;
          }
        }
      }
      // At the start, the full buckets of all instances together hold the
      // requests of one second.
      const upperBound = rate * (SECONDS + 1) + 1;
      const lowerBound = rate * SECONDS * 0.4 - count;
      if (admitted > upperBound) throw new Error(`${admitted} > ${upperBound}`);
      if (admitted < lowerBound) throw new Error(`${admitted} < ${lowerBound}`);
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: 50 }));
});

test("a small limit can be used on every instance", async (t) => {
  const clock = new ManualClock();
  const caller = callerWith(2, 2);
  const limits = fleet(12, caller, clock);
  for (const each of limits) {
    const ticket = await each.admit(caller);
    t.true(ticket.isOk());
    if (ticket.isOk()) ticket.value.dispose();
    clock.now += 5_000;
  }
});

test("one instance can borrow all of the lent part", async (t) => {
  const clock = new ManualClock();
  const caller = callerWith(40, 1_000_000);
  const [first] = fleet(12, caller, clock);
  let admitted = 0;
  for (let index = 0; index < 60; index++) {
    clock.now += 300;
    await first?.renew();
    if ((await first?.admit(caller))?.isOk()) admitted += 1;
  }
  // The other 11 instances keep one slot each as their fixed parts.
  t.is(admitted, 40 - 11);
});
