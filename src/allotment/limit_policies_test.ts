import test from "ava";
import fc from "fast-check";
import type { Deadline } from "../common/mod.ts";
import { type Engine, engineSchema } from "../configuration/mod.ts";
import { createLimitPolicy } from "./limit_policies.ts";
import type { IBatchLimitContext } from "./types.ts";

const SEED = 650;
const SLOTS = 16;
const ENGINES = 8;

function engine(index: number): Engine {
  return engineSchema.parse({
    id: `engine-${index}`,
    service: "alerts",
    address: "127.0.0.1",
    port: 1,
    failureDomain: `domain-${index % 3}`,
    maximumStreams: SLOTS,
  });
}

function limitContext(
  live: readonly number[],
  index: number,
  fields: Partial<IBatchLimitContext> = {},
): IBatchLimitContext {
  return {
    engine: engine(index),
    live: live[index] ?? 0,
    peers: live.map((count, peer) => ({ engine: engine(peer), live: count })),
    gapSince: () => undefined,
    objectiveGap: 30,
    now: 0 as Deadline,
    ...fields,
  };
}

test("at least one slot stays free for live requests", (t) => {
  const names = ["spare-slots", "learned", "concentrating"] as const;
  const lives = fc.array(fc.nat(2 * SLOTS), {
    minLength: ENGINES,
    maxLength: ENGINES,
  });
  fc.assert(
    fc.property(lives, fc.constantFrom(...names), (live, name) => {
      const policy = createLimitPolicy(name);
      for (let index = 0; index < ENGINES; index++) {
        const limit = policy.limitOf(limitContext(live, index));
        const streams = limit + (live[index] ?? 0);
        t.true(limit >= 0);
        t.true(limit === 0 || streams < SLOTS);
      }
    }),
    { seed: SEED },
  );
});

test("learned limit falls while tokens are slow and rises again", (t) => {
  const policy = createLimitPolicy("learned");
  const limitAt = (now: number, gap: number) =>
    policy.limitOf(limitContext([0], 0, {
      now: now as Deadline,
      gapSince: () => gap,
    }));
  t.is(limitAt(0, 100), SLOTS - 1);
  t.is(limitAt(1_000, 100), 12);
  t.is(limitAt(1_001, 100), 12);
  t.is(limitAt(2_000, 100), 9);
  t.is(limitAt(3_000, 20), 11);
});

test("concentrating policy lowers the batch limit of few engines", (t) => {
  const policy = createLimitPolicy("concentrating");
  const live = [8, 0, 0, 0, 0, 0, 0, 0];
  const limits = live.map((_, index) =>
    policy.limitOf(limitContext(live, index))
  );
  t.deepEqual(limits, [4, 15, 15, 15, 15, 15, 15, 15]);
});
