import test from "ava";
import { RandomRun } from "../../testing/log_random_run.ts";

const SEEDS = [1, 2, 3, 4];

for (const voters of [3, 5]) {
  for (const seed of SEEDS) {
    test(`${voters} replicas: no violations, seed ${seed}`, async (t) => {
      const { violations, acknowledged, actions } = await RandomRun.run(
        voters,
        seed,
      );
      t.log(acknowledged, Object.fromEntries(actions));
      t.deepEqual(violations, []);
      t.true(acknowledged > 50);
    });
  }
}

for (const seed of SEEDS) {
  test(`3 of 4 replicas vote: no violations, seed ${seed}`, async (t) => {
    const { violations, acknowledged, actions } = await RandomRun.run(
      3,
      seed,
      1,
    );
    t.log(acknowledged, Object.fromEntries(actions));
    t.deepEqual(violations, []);
    t.true(acknowledged > 50);
  });
}
