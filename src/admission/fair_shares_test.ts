import test from "ava";
import fc from "fast-check";
import { exceedsFairShare, type ICallerDemand } from "./fair_shares.ts";

function demand(inProgress: number, weight = 1): ICallerDemand {
  return { inProgress, weight };
}

// One caller sends many times its usual while all slots are in use.
test("hot caller is beyond its share, its neighbours are not", (t) => {
  const neighbours = Array.from({ length: 9 }, () => demand(5));
  t.true(exceedsFairShare(demand(60), neighbours, 100));
  const others = [demand(60), ...neighbours.slice(1)];
  t.false(exceedsFairShare(demand(5), others, 100));
});

test("share that others leave unused may be used", (t) => {
  t.false(exceedsFairShare(demand(89), [demand(5), demand(5)], 100));
  t.true(exceedsFairShare(demand(91), [demand(5), demand(5)], 100));
});

test("shares follow the weights", (t) => {
  const large = demand(69, 3);
  t.false(exceedsFairShare(large, [demand(40, 1)], 100));
  t.true(exceedsFairShare(demand(31, 1), [large], 100));
});

test("caller without a request in progress is always within", (t) => {
  const large = Array.from({ length: 50 }, () => demand(10, 100));
  t.false(exceedsFairShare(demand(0, 0.1), large, 16));
});

const demands = fc.array(
  fc.record({
    inProgress: fc.integer({ min: 0, max: 30 }),
    weight: fc.integer({ min: 1, max: 20 }),
  }),
  { minLength: 1, maxLength: 10 },
);

test("only callers beyond their weighted share are refused", (t) => {
  fc.assert(
    fc.property(demands, fc.integer({ min: 1, max: 200 }), (callers, slots) => {
      const [asking, ...others] = callers as [
        ICallerDemand,
        ...ICallerDemand[],
      ];
      const wanted = asking.inProgress + 1;
      const total = others.reduce((sum, it) => sum + it.inProgress, wanted);
      const weights = others.reduce(
        (sum, it) => sum + (it.inProgress > 0 ? it.weight : 0),
        asking.weight,
      );
      const isRefused = exceedsFairShare(asking, others, slots);
      if (total <= slots) t.false(isRefused, "there is room for all");
      const ownShare = slots * asking.weight / weights;
      if (wanted <= ownShare) t.false(isRefused, "within its part");
    }),
    { seed: 7, numRuns: 300 },
  );
});
