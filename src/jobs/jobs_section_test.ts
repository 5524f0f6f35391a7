import { mkdtempSync, rmSync } from "node:fs";
import { cp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import type {
  ItemReference,
  Job,
  JobsCommand,
  JobsOutput,
} from "./messages.ts";
import { JOB_RETENTION_MILLISECONDS } from "./ended_jobs.ts";
import { JobsSection } from "./jobs_section.ts";
import { MAXIMUM_FAILURES } from "./retry_queue.ts";
import { ResultPages } from "./result_pages.ts";

const SEED = 20_261_203;
const RUNS = 60;
const ITEMS = 6;
const TERMINAL = ["done", "failed", "cancelled", "mayHaveRun"] as const;

/** A section with a clock that only moves when told to. */
class Bench {
  readonly folder = mkdtempSync(join(tmpdir(), "figroad-jobs-"));
  section = new JobsSection(join(this.folder, "0"));
  now = 1_000;
  #index = 0;
  #copies = 0;

  apply(command: JobsCommand): JobsOutput {
    this.#index += 1;
    return this.section.apply(command, {
      index: this.#index,
      term: 1,
      proposedAt: this.now,
    });
  }

  upload(fileId: string, lines: number, caller = "station"): void {
    const line = (index: number) =>
      JSON.stringify({ custom_id: `item-${index}`, body: {} });
    this.apply({ kind: "open-file", fileId, caller, name: "in.jsonl" });
    this.apply({
      kind: "append-lines",
      fileId,
      after: 0,
      lines: Array.from({ length: lines }, (_, index) => line(index)),
    });
    this.apply({ kind: "close-file", fileId });
  }

  submit(
    jobId: string,
    fields: Partial<JobsCommand & { kind: "submit" }> = {},
  ) {
    return this.apply({
      kind: "submit",
      jobId,
      caller: "station",
      key: jobId,
      fingerprint: "same",
      fileId: "file",
      service: "alerts",
      endpoint: "/v1/completions",
      idempotent: true,
      deadlineAt: this.now + 1_000_000,
      metadata: {},
      queuedItemsLimit: 1_000,
      ...fields,
    });
  }

  grant(leaseId: string, maximum: number) {
    const fields = { leaseId, holder: leaseId, service: "alerts", maximum };
    const output = this.apply({ kind: "grant", ...fields });
    return output.kind === "grant" ? output.grant.items : [];
  }

  lines(jobId: string): string[] {
    const request = { from: 0, limit: 1_000, kind: "all", order: "completion" };
    return new ResultPages(this.section).read(jobId, request as never).lines;
  }

  /** Takes a snapshot and goes on with a section restored from it. */
  async reload(): Promise<void> {
    const snapshot = JSON.parse(JSON.stringify(await this.section.snapshot()));
    const from = join(this.folder, `${this.#copies}`);
    this.#copies += 1;
    const to = join(this.folder, `${this.#copies}`);
    await cp(from, to, { recursive: true });
    this.section = new JobsSection(to);
    await this.section.restore(snapshot);
  }

  dispose(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function openBench(t: ExecutionContext): Bench {
  const bench = new Bench();
  t.teardown(() => bench.dispose());
  return bench;
}

interface IStep {
  kind: "submit" | "grant" | "complete" | "expire" | "cancel" | "wait";
  pick: number;
  count: number;
  status: "done" | "failed" | "again" | "may-have-run" | "released";
  reload: boolean;
}

const stepArbitrary: fc.Arbitrary<IStep> = fc.record({
  kind: fc.constantFrom(
    "submit",
    "grant",
    "grant",
    "complete",
    "complete",
    "expire",
    "cancel",
    "wait",
  ),
  pick: fc.nat(50),
  count: fc.integer({ min: 1, max: 5 }),
  status: fc.constantFrom(
    "done",
    "failed",
    "again",
    "may-have-run",
    "released",
  ),
  reload: fc.boolean(),
});

/** Applies a step; completions of old attempts are sent as well. */
function take(bench: Bench, step: IStep, granted: ItemReference[]): unknown {
  const jobId = `job-${step.pick % 4}`;
  const leaseId = `lease-${step.pick % 3}`;
  const item = granted[step.pick % Math.max(1, granted.length)];
  const { status } = step;
  switch (step.kind) {
    case "submit":
      return bench.submit(jobId, { idempotent: step.count > 2 });
    case "grant":
      return bench.grant(leaseId, step.count);
    case "complete":
      if (!item) return undefined;
      return bench.apply({
        kind: "complete",
        outcomes: [{ ...item, status, line: `${item.index} ${status}` }],
      });
    case "expire":
      return bench.apply({ kind: "expire", leaseId });
    case "cancel":
      return bench.apply({ kind: "cancel", jobId });
    case "wait":
      bench.now += step.count * 1_000;
      return undefined;
  }
}

function countsOf(bench: Bench): (Job | undefined)[] {
  return [0, 1, 2, 3].map((number) => bench.section.job(`job-${number}`));
}

test("random commands with restores", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 30, maxLength: 60 }),
      async (steps) => {
        const plain = new Bench();
        const reloaded = new Bench();
        const granted: ItemReference[] = [];
        const ended = new Map<string, string>();
        plain.upload("file", ITEMS);
        reloaded.upload("file", ITEMS);
        for (const step of steps) {
          if (step.reload) await reloaded.reload();
          const output = take(plain, step, granted);
          t.deepEqual(take(reloaded, step, granted), output);
          if (step.kind === "grant") granted.push(...output as ItemReference[]);
          checkInvariants(t, plain, ended);
        }
        t.deepEqual(countsOf(reloaded), countsOf(plain));
        for (const id of ["job-0", "job-1", "job-2", "job-3"]) {
          t.deepEqual(reloaded.lines(id), plain.lines(id));
        }
        plain.dispose();
        reloaded.dispose();
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

/** Counts add up, results are exactly one and never change. */
function checkInvariants(
  t: ExecutionContext,
  bench: Bench,
  ended: Map<string, string>,
): void {
  for (const job of countsOf(bench)) {
    if (!job) continue;
    const { total, pending, leased } = job.counts;
    const terminal = TERMINAL.reduce((sum, key) => sum + job.counts[key], 0);
    t.is(pending + leased + terminal, total);
    const lines = bench.lines(job.id);
    t.is(lines.length, terminal);
    t.is(job.state === "running", terminal < total);
    lines.forEach((line, position) => {
      const key = `${job.id}/${position}`;
      t.is(ended.get(key) ?? line, line);
      ended.set(key, line);
    });
  }
}

test("resubmission", (t) => {
  const bench = openBench(t);
  bench.upload("file", ITEMS);
  bench.upload("copy", ITEMS);
  bench.upload("other", ITEMS + 1);
  bench.submit("job-0", { key: "key" });
  const ids = ["file", "copy"].map((fileId) => {
    const output = bench.submit("job-1", { key: "key", fileId });
    return output.kind === "job" ? output.job.id : output.kind;
  });
  t.deepEqual(ids, ["job-0", "job-0"]);
  for (const change of [{ fileId: "other" }, { fingerprint: "else" }]) {
    const output = bench.submit("job-2", { key: "key", ...change });
    t.like(output, { kind: "refused", code: "conflict" });
  }
  t.is(bench.section.job("job-2"), undefined);
});

test("queued items limit", (t) => {
  const bench = openBench(t);
  bench.upload("file", ITEMS);
  const queuedItemsLimit = ITEMS + 1;
  t.like(bench.submit("job-0", { queuedItemsLimit }), { kind: "job" });
  const refused = { kind: "refused", code: "limit-exceeded" };
  t.like(bench.submit("job-1", { queuedItemsLimit }), refused);
  bench.apply({ kind: "cancel", jobId: "job-0" });
  t.like(bench.submit("job-1", { queuedItemsLimit }), { kind: "job" });
});

test("late and repeated completions", (t) => {
  const bench = openBench(t);
  bench.upload("file", 1);
  bench.submit("job-0");
  const [first] = bench.grant("lease-0", 1);
  bench.apply({ kind: "expire", leaseId: "lease-0" });
  bench.now += 10_000;
  const [second] = bench.grant("lease-1", 1);
  t.truthy(first && second);
  if (!first || !second) return;
  t.is(second.attempt, 2);
  const complete = (item: ItemReference, line: string) =>
    bench.apply({
      kind: "complete",
      outcomes: [{ ...item, status: "done", line }],
    });
  t.like(complete(first, "winner"), { recorded: [first] });
  t.like(complete(second, "late"), { recorded: [] });
  t.like(complete(first, "again"), { recorded: [] });
  t.deepEqual(bench.lines("job-0"), ["winner"]);
  t.is(bench.section.lateOutcomes, 2);
});

test("repeated release", (t) => {
  const bench = openBench(t);
  bench.upload("file", 1);
  bench.submit("job-0");
  const [first] = bench.grant("lease-0", 1);
  if (!first) return t.fail();
  const outcomes = [{ ...first, status: "released" as const, line: "" }];
  bench.apply({ kind: "complete", outcomes });
  t.is(bench.grant("lease-1", 1).length, 1);
  bench.apply({ kind: "complete", outcomes });
  t.is(bench.section.job("job-0")?.counts.leased, 1);
});

test("poison items", (t) => {
  const bench = openBench(t);
  bench.upload("file", ITEMS);
  bench.submit("job-0");
  let grants = 0;
  for (let round = 0; round < 20; round++) {
    const items = bench.grant("lease", ITEMS);
    grants += items.filter(({ index }) => index === 0).length;
    const outcomes = items.map((item) => ({
      ...item,
      status: item.index === 0 ? "again" as const : "done" as const,
      line: `${item.index}`,
    }));
    bench.apply({ kind: "complete", outcomes });
    if (round === 0) {
      t.is(bench.section.job("job-0")?.counts.done, ITEMS - 1);
      t.is(bench.grant("lease", ITEMS).length, 0);
    }
    bench.now += 1_000;
  }
  t.is(grants, MAXIMUM_FAILURES);
  t.like(bench.section.job("job-0")?.counts, { failed: 1, done: ITEMS - 1 });
});

test("non-idempotent items", (t) => {
  const bench = openBench(t);
  bench.upload("file", 2);
  bench.submit("job-0", { idempotent: false });
  t.is(bench.grant("lease", 2).length, 2);
  bench.apply({ kind: "expire", leaseId: "lease" });
  t.is(bench.grant("lease-1", 2).length, 0);
  t.like(bench.section.job("job-0"), {
    state: "finished",
    counts: { mayHaveRun: 2 },
  });
  const [line] = bench.lines("job-0").map((text) => JSON.parse(text));
  t.like(line, { custom_id: "item-0", error: { verdict: "may-have-run" } });
});

test("cancelled items have lines", (t) => {
  const bench = openBench(t);
  bench.upload("file", ITEMS);
  bench.submit("job-0");
  bench.grant("lease", 2);
  bench.apply({ kind: "cancel", jobId: "job-0" });
  const lines = bench.lines("job-0").map((text) => JSON.parse(text));
  t.deepEqual(
    lines.map((line) => line.custom_id),
    Array.from({ length: ITEMS }, (_, index) => `item-${index}`),
  );
  t.is(lines[0].error.code, "cancelled");
});

test("fairness and deadlines", (t) => {
  const bench = openBench(t);
  bench.upload("file", 100);
  bench.upload("small", 100, "committee");
  bench.submit("late", { deadlineAt: 2_000_000 });
  bench.submit("soon", { deadlineAt: 1_000_000 });
  bench.submit("other", { caller: "committee", fileId: "small" });
  const items = bench.grant("lease", 80);
  const count = (id: string) =>
    items.filter(({ jobId }) => jobId === id).length;
  t.is(count("other"), 40);
  t.true(count("soon") > count("late"));
  t.true(count("late") > 0);
});

test("retention", async (t) => {
  const bench = openBench(t);
  bench.upload("file", 1);
  bench.apply({
    kind: "open-file",
    fileId: "abandoned",
    caller: "station",
    name: "x",
  });
  bench.submit("job-0");
  bench.apply({ kind: "cancel", jobId: "job-0" });
  t.false(bench.section.isSweepDue(bench.now));
  bench.now += 2 * JOB_RETENTION_MILLISECONDS;
  t.true(bench.section.isSweepDue(bench.now));
  bench.apply({ kind: "sweep" });
  t.is(bench.section.job("job-0"), undefined);
  t.is(bench.section.file("abandoned"), undefined);
  t.like(bench.submit("job-0"), { kind: "job" });
  bench.apply({ kind: "cancel", jobId: "job-0" });
  bench.now += JOB_RETENTION_MILLISECONDS;
  bench.apply({ kind: "sweep" });
  bench.now += JOB_RETENTION_MILLISECONDS;
  bench.apply({ kind: "sweep" });
  t.is(bench.section.file("file"), undefined);
  t.deepEqual((await bench.section.snapshot()).files, []);
  t.false(bench.section.isSweepDue(Number.MAX_SAFE_INTEGER));
});
