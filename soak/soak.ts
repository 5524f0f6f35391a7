// Long randomised run: soak.js --seed N --seconds S.
import process from "node:process";
import { defineCommand, runMain } from "citty";
import type { SoakRecord } from "./record.ts";
import { runSoak } from "./run_soak.ts";

const command = defineCommand({
  meta: { name: "soak", description: "Runs mixed load under seeded faults" },
  args: {
    seed: { type: "string", default: "1", description: "Seed of the run" },
    seconds: { type: "string", default: "60", description: "Length of load" },
    instances: { type: "string", default: "5", description: "Daemons" },
    voters: { type: "string", default: "3", description: "Control voters" },
    engines: { type: "string", default: "3", description: "Engines" },
  },
  async run({ args }) {
    const { record, schedule, folder } = await runSoak({
      seed: Number(args.seed),
      seconds: Number(args.seconds),
      instances: Number(args.instances),
      voters: Number(args.voters),
      engines: Number(args.engines),
      onProgress: (line) => console.log(line),
    });
    console.log(`seed ${args.seed}, ${args.seconds} s`);
    for (const { kind, at, lasts } of schedule) {
      console.log(`  ${(at / 1_000).toFixed(1)} s: ${kind} for ${lasts} ms`);
    }
    printCounts(record);
    const [first] = record.violations;
    if (first === undefined) {
      console.log("no line is broken");
      process.exit(0);
    }
    console.log(`${record.violations.length} lines are broken; the first:`);
    record.violations.slice(0, 20).forEach((line) => console.log(`  ${line}`));
    console.log(`logs of the daemons are in ${folder}`);
    process.exit(1);
  },
});

function printCounts(record: SoakRecord): void {
  const ends = new Map<string, number>();
  for (const { end, kind } of record.requests) {
    const key = `${kind}: ${end?.kind}`;
    ends.set(key, (ends.get(key) ?? 0) + 1);
  }
  for (const [key, count] of [...ends].sort()) console.log(`  ${key} ${count}`);
  const cancelled = record.jobs.filter((job) => job.cancelledAt !== undefined);
  const items = record.jobs.reduce((sum, job) => sum + job.items, 0);
  console.log(
    `  jobs ${record.jobs.length} with ${items} items, ` +
      `cancelled ${cancelled.length}`,
  );
  const accepted = record.changes.filter((change) =>
    change.acceptedVersion !== undefined
  );
  console.log(`  changes ${accepted.length} of ${record.changes.length} won`);
  console.log(`  planned stops ${record.plannedStops.length}`);
}

await runMain(command);
