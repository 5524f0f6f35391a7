import test from "ava";
import { runSoak } from "./run_soak.ts";

const SECONDS = 12;

for (const seed of [1, 2]) {
  test.serial(`no violations under faults, seed ${seed}`, async (t) => {
    t.timeout(600_000);
    const { record, folder } = await runSoak({
      seed,
      seconds: SECONDS,
      instances: 5,
      voters: 3,
      engines: 3,
    });
    if (record.violations.length > 0) t.log(`daemons' logs are in ${folder}`);
    t.deepEqual(record.violations, []);
    t.true(record.requests.some(({ outcome }) => outcome?.kind === "answer"));
  });
}
