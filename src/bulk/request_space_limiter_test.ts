import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { BulkSection } from "./bulk_section.ts";
import { RequestSpaceLimiter } from "./request_space_limiter.ts";
import type { BulkJob } from "./types.ts";

const MAXIMUM_BYTES = 100_000;

function job(id: string, characters: number): BulkJob {
  const item = { id, path: "", headers: {}, tokens: 1 };
  const items = [{ ...item, body: "x".repeat(characters) }];
  return { id, host: "h", path: "/", items };
}

function setup() {
  const clock = new FakeClock();
  const section = new BulkSection();
  const limiter = new RequestSpaceLimiter(section, {
    clock,
    maximumBytes: MAXIMUM_BYTES,
  });
  const context = { index: 1, term: 1, proposedAt: 1 };
  const submit = (it: BulkJob) =>
    section.apply({ kind: "submit", job: it }, context);
  const finish = (id: string) =>
    section.apply({
      ...{ kind: "record", job: id, item: id, from: 0, data: [] },
      state: "done",
    }, context);
  return { clock, limiter, submit, finish };
}

test("burst of large jobs is accepted up to the space", (t) => {
  const { limiter, submit, finish } = setup();
  const jobs = ["a", "b", "c"].map((id) => job(id, 40_000));
  const refusals = jobs.map((it) => limiter.findRefusal(it, 1));
  t.deepEqual(refusals.map((it) => it === undefined), [true, true, false]);
  t.like(refusals[2], { maximumBytes: MAXIMUM_BYTES });
  jobs.slice(0, 2).forEach(submit);
  t.truthy(limiter.findRefusal(job("d", 40_000), 1), "the jobs are applied");
  finish("a");
  t.is(limiter.findRefusal(job("d", 40_000), 1), undefined);
});

test("many jobs with empty items are limited as well", (t) => {
  const { limiter, submit } = setup();
  let accepted = 0;
  while (!limiter.findRefusal(job(`${accepted}`, 0), 1)) {
    submit(job(`${accepted}`, 0));
    accepted += 1;
  }
  t.true(accepted > 50 && accepted < 150);
});

test("retry delay follows the rate at which jobs are finished", (t) => {
  const { clock, limiter, submit, finish } = setup();
  for (let index = 0; index < 8; index++) submit(job(`${index}`, 10_000));
  for (let index = 0; index < 4; index++) {
    clock.advance(1_000);
    finish(`${index}`);
    submit(job(`next-${index}`, 10_000));
  }
  const refusal = limiter.findRefusal(job("large", 50_000), 1);
  const { retryMilliseconds = 0, bytes = 0, usedBytes = 0 } = refusal ?? {};
  const excess = bytes + usedBytes - MAXIMUM_BYTES;
  t.true(Math.abs(retryMilliseconds - excess / 10) < 500);
  const never = limiter.findRefusal(job("huge", MAXIMUM_BYTES + 1), 1);
  t.is(never?.retryMilliseconds, undefined);
});

test("proposal with an unknown outcome counts until the term ends", (t) => {
  const { limiter } = setup();
  t.is(limiter.findRefusal(job("a", 60_000), 1), undefined);
  t.is(limiter.findRefusal(job("a", 60_000), 1), undefined, "sent again");
  t.truthy(limiter.findRefusal(job("b", 60_000), 1));
  t.is(limiter.findRefusal(job("b", 60_000), 2), undefined);
  limiter.release("b");
  t.is(limiter.findRefusal(job("c", 60_000), 2), undefined);
});

// Guards against more waiting items than a leader can rank while it sends its
// heartbeats.
test("burst of many small items is accepted up to their number", (t) => {
  const clock = new FakeClock();
  const section = new BulkSection();
  const limiter = new RequestSpaceLimiter(section, {
    ...{ clock, maximumBytes: Number.POSITIVE_INFINITY, maximumItems: 5 },
  });
  const context = { index: 1, term: 1, proposedAt: 1 };
  for (const id of ["a", "b", "c", "d", "e"]) {
    t.is(limiter.findRefusal(job(id, 1), 1), undefined);
    section.apply({ kind: "submit", job: job(id, 1) }, context);
  }
  const refusal = limiter.findRefusal(job("f", 1), 1);
  t.like(refusal, { waitingItems: 5, maximumItems: 5 });
  t.true((refusal?.retryMilliseconds ?? 0) > 0);
  section.apply({ kind: "end", job: "a" }, context);
  t.is(limiter.findRefusal(job("f", 1), 1), undefined);
});
