// Randomised runs under faults, checked for violated guarantees:
// soak.js [product|platform] --seed N --seconds S.
import process from "node:process";
import { defineCommand, runMain } from "citty";
import type { IScheduledFault } from "./faults.ts";
import type { PlatformRecord } from "./platform/platform_record.ts";
import { runPlatformSoak } from "./platform/run_platform_soak.ts";
import { runSoak } from "./run_soak.ts";
import type { SoakRecord } from "./soak_record.ts";

/** Exit code after SIGINT or SIGTERM. */
const EXIT_INTERRUPTED = 130;

/** Arguments of both soaks. */
const COMMON_ARGUMENTS = {
  seed: { type: "string", default: "1", description: "Seed of the first run" },
  seeds: {
    type: "string",
    default: "1",
    description: "Number of runs, with consecutive seeds",
  },
  seconds: {
    type: "string",
    default: "60",
    description: "Duration of the load",
  },
} as const;

const product = defineCommand({
  meta: { name: "product", description: "Daemons under mixed load" },
  args: {
    ...COMMON_ARGUMENTS,
    instances: {
      type: "string",
      default: "5",
      description: "Number of daemons",
    },
    voters: {
      type: "string",
      default: "3",
      description: "Number of control voters",
    },
    engines: { type: "string", default: "3", description: "Number of engines" },
  },
  async run({ args }) {
    await runSeeds(args, async (seed) => {
      const { record, schedule, folder } = await runSoak({
        seed,
        seconds: Number(args.seconds),
        instances: Number(args.instances),
        voters: Number(args.voters),
        engines: Number(args.engines),
        onProgress: (line) => console.log(line),
      });
      printSchedule(schedule);
      printCounts(record);
      return { violations: record.violations, logs: folder };
    });
  },
});

const platform = defineCommand({
  meta: {
    name: "platform",
    description: "Entry and store roles of the platform",
  },
  args: {
    ...COMMON_ARGUMENTS,
    entries: { type: "string", default: "3", description: "Number of entries" },
    engines: { type: "string", default: "3", description: "Number of engines" },
    spares: {
      type: "string",
      default: "0",
      description: "Number of stores beyond the three that vote",
    },
    callers: {
      type: "boolean",
      default: false,
      description: "Callers have keys, some of which are withdrawn",
    },
  },
  async run({ args }) {
    await runSeeds(args, async (seed) => {
      const { record, schedule, logs } = await runPlatformSoak({
        seed,
        seconds: Number(args.seconds),
        entries: Number(args.entries),
        engines: Number(args.engines),
        spareStores: Number(args.spares),
        hasCallers: args.callers,
      });
      printSchedule(schedule);
      printPlatformCounts(record);
      return { violations: record.violations, logs };
    });
  },
});

/** Runs the seeds in order; exits with 1 if a run has violations. */
async function runSeeds(
  args: { seed: string; seeds: string },
  runSeed: (seed: number) => Promise<{
    violations: readonly string[];
    logs: string | undefined;
  }>,
): Promise<void> {
  const firstSeed = Number(args.seed);
  let failedRuns = 0;
  for (let seed = firstSeed; seed < firstSeed + Number(args.seeds); seed++) {
    console.log(`seed ${seed}`);
    const { violations, logs } = await runSeed(seed);
    console.log(`  ${violations.length} violations`);
    for (const line of violations.slice(0, 20)) console.log(`    ${line}`);
    if (violations.length === 0) continue;
    failedRuns += 1;
    console.log(`  logs are in ${logs}`);
  }
  process.exit(failedRuns > 0 ? 1 : 0);
}

function printSchedule(schedule: readonly IScheduledFault<string>[]): void {
  for (const { kind, startMilliseconds, durationMilliseconds } of schedule) {
    console.log(
      `  ${
        (startMilliseconds / 1_000).toFixed(1)
      } s: ${kind} for ${durationMilliseconds} ms`,
    );
  }
}

function printPlatformCounts(record: PlatformRecord): void {
  const rows = new Map<string, number>();
  for (const { kind, status, isComplete } of record.streams) {
    const completeness = isComplete ? "complete" : "incomplete";
    const key = `${kind} stream: ${status ?? "no answer"}, ${completeness}`;
    rows.set(key, (rows.get(key) ?? 0) + 1);
  }
  for (const [key, count] of [...rows].sort()) console.log(`  ${key} ${count}`);
  const accepted = record.jobs.filter((job) => job.isAccepted);
  console.log(`  jobs ${record.jobs.length}, accepted ${accepted.length}`);
  const acknowledged = record.configurations.filter((configuration) =>
    configuration.isAcknowledged
  );
  console.log(
    `  configurations ${record.configurations.length}, ` +
      `acknowledged ${acknowledged.length}`,
  );
}

function printCounts(record: SoakRecord): void {
  const rows = new Map<string, number>();
  for (const { outcome, kind } of record.requests) {
    const key = `${kind}: ${outcome?.kind}`;
    rows.set(key, (rows.get(key) ?? 0) + 1);
  }
  for (const [key, count] of [...rows].sort()) console.log(`  ${key} ${count}`);
  const cancelled = record.jobs.filter((job) => job.cancelledAt !== undefined);
  const items = record.jobs.reduce((sum, job) => sum + job.items, 0);
  console.log(
    `  jobs ${record.jobs.length} with ${items} items, ` +
      `cancelled ${cancelled.length}`,
  );
  const accepted = record.changes.filter((change) =>
    change.acceptedVersion !== undefined
  );
  console.log(
    `  changes ${accepted.length} of ${record.changes.length} accepted`,
  );
  console.log(`  planned stops ${record.plannedStops.length}`);
}

const command = defineCommand({
  meta: { name: "soak", description: "Runs mixed load under seeded faults" },
  subCommands: { product, platform },
});

for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(EXIT_INTERRUPTED));
}

await runMain(command);
