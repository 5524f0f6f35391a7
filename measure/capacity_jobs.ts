import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { type ItemReference, JobsSection } from "../src/jobs/mod.ts";
import { fitLine, median } from "./statistics.ts";

/** Numbers of items per job that are compared. */
const JOB_SIZES = [10_000, 40_000, 170_000];
const RUNS = 3;

/** Length of the text in an input line and in a result line. */
const LINE_CHARACTERS = 1_000;

/** Items in one grant, and outcomes in one command. */
const ITEMS_PER_GRANT = 32;

/** Lines in one append command. */
const LINES_PER_CHUNK = 250;

/** Batch items per day in the capacity requirements. */
const REFERENCE_ITEMS_PER_DAY = 36_000_000;
const SECONDS_PER_DAY = 86_400;

interface IJobCost {
  readonly items: number;
  readonly uploadMicroseconds: number;
  readonly runMicroseconds: number;
  readonly bytesPerItem: number;
  readonly snapshotMilliseconds: number;
}

/** Measures the cost of batch items in the replicated state of a voter. */
export async function measureJobs(): Promise<void> {
  const rows: IJobCost[] = [];
  for (const items of JOB_SIZES) {
    const runs: IJobCost[] = [];
    for (let run = 0; run < RUNS; run++) runs.push(await runJob(items));
    rows.push({
      items,
      uploadMicroseconds: medianOf(runs, "uploadMicroseconds"),
      runMicroseconds: medianOf(runs, "runMicroseconds"),
      bytesPerItem: medianOf(runs, "bytesPerItem"),
      snapshotMilliseconds: medianOf(runs, "snapshotMilliseconds"),
    });
  }
  console.log("jobs: cost of one item in the state of a voter (medians)");
  console.table(rows.map((row) => ({
    "items per job": row.items,
    "upload (µs)": row.uploadMicroseconds.toFixed(2),
    "grant and record (µs)": row.runMicroseconds.toFixed(2),
    "memory (bytes)": row.bytesPerItem.toFixed(1),
    "snapshot (ms)": row.snapshotMilliseconds.toFixed(1),
  })));
  const line = fitLine(rows.map((row) => ({
    x: row.items,
    y: row.items * (row.uploadMicroseconds + row.runMicroseconds),
  })));
  const perSecond = REFERENCE_ITEMS_PER_DAY / SECONDS_PER_DAY;
  console.log(
    `slope ${line.slope.toFixed(2)} µs per item, spread ${
      (line.spread / 1_000).toFixed(0)
    } ms; at ${perSecond.toFixed(0)} items/s: ${
      (line.slope * perSecond / 10_000).toFixed(2)
    }% of a core to apply at each voter`,
  );
}

function medianOf(runs: IJobCost[], field: keyof IJobCost): number {
  return median(runs.map((run) => run[field]));
}

async function runJob(items: number): Promise<IJobCost> {
  const folder = await mkdtemp(join(tmpdir(), "figroad-capacity-"));
  const section = new JobsSection(folder);
  let index = 0;
  const apply = (command: Parameters<JobsSection["apply"]>[0]) =>
    section.apply(command, { index: index++, term: 1, proposedAt: 1 });
  globalThis.gc?.();
  const before = usedBytes();
  const startedAt = performance.now();
  upload(apply, items);
  const uploadedAt = performance.now();
  globalThis.gc?.();
  const bytesPerItem = (usedBytes() - before) / items;
  const runStartedAt = performance.now();
  runItems(apply, items);
  const runEndedAt = performance.now();
  await section.snapshot();
  const snapshotMilliseconds = performance.now() - runEndedAt;
  await section.reset();
  await rm(folder, { recursive: true, force: true });
  return {
    items,
    uploadMicroseconds: (uploadedAt - startedAt) * 1_000 / items,
    runMicroseconds: (runEndedAt - runStartedAt) * 1_000 / items,
    bytesPerItem,
    snapshotMilliseconds,
  };
}

type Apply = (
  command: Parameters<JobsSection["apply"]>[0],
) => ReturnType<JobsSection["apply"]>;

function upload(apply: Apply, items: number): void {
  const fileId = "file-1";
  apply({ kind: "open-file", fileId, caller: "committee", name: "in" });
  for (let after = 0; after < items; after += LINES_PER_CHUNK) {
    const lines = Array.from(
      { length: LINES_PER_CHUNK },
      () => paddedLine("input"),
    );
    apply({ kind: "append-lines", fileId, after, lines });
  }
  apply({ kind: "close-file", fileId });
  apply({
    kind: "submit",
    jobId: "job-1",
    caller: "committee",
    key: "key",
    fingerprint: "fingerprint",
    fileId,
    service: "reports",
    endpoint: "/v1/completions",
    idempotent: true,
    deadlineAt: 1_000_000,
    metadata: {},
    queuedItemsLimit: items,
  });
}

function runItems(apply: Apply, items: number): void {
  const line = paddedLine("result");
  for (let granted = 0; granted < items;) {
    const output = apply({
      kind: "grant",
      leaseId: `lease-${granted}`,
      holder: "instance-1",
      service: "reports",
      maximum: ITEMS_PER_GRANT,
    });
    const references = leasedItems(output);
    if (references.length === 0) throw new Error("grant returned no items");
    granted += references.length;
    const outcomes = references.map((item) => ({
      ...item,
      status: "done" as const,
      line,
    }));
    apply({ kind: "complete", outcomes });
  }
}

function leasedItems(output: ReturnType<Apply>): ItemReference[] {
  return output.kind === "grant" ? output.grant.items : [];
}

function usedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function paddedLine(text: string): string {
  return JSON.stringify({ text: text.padEnd(LINE_CHARACTERS, ".") });
}
