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

/** A section with a manual clock. */
class JobsSectionFixture {
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

  /** Replaces the section by one restored from its snapshot. */
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

function openFixture(t: ExecutionContext): JobsSectionFixture {
  const fixture = new JobsSectionFixture();
  t.teardown(() => fixture.dispose());
  return fixture;
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

/** Applies a step; completions may belong to earlier attempts. */
function applyStep(
  fixture: JobsSectionFixture,
  step: IStep,
  granted: ItemReference[],
): unknown {
  const jobId = `job-${step.pick % 4}`;
  const leaseId = `lease-${step.pick % 3}`;
  const item = granted[step.pick % Math.max(1, granted.length)];
  const { status } = step;
  switch (step.kind) {
    case "submit":
      return fixture.submit(jobId, { idempotent: step.count > 2 });
    case "grant":
      return fixture.grant(leaseId, step.count);
    case "complete":
      if (!item) return undefined;
      return fixture.apply({
        kind: "complete",
        outcomes: [{ ...item, status, line: `${item.index} ${status}` }],
      });
    case "expire":
      return fixture.apply({ kind: "expire", leaseId });
    case "cancel":
      return fixture.apply({ kind: "cancel", jobId });
    case "wait":
      fixture.now += step.count * 1_000;
      return undefined;
  }
}

function countsOf(fixture: JobsSectionFixture): (Job | undefined)[] {
  return [0, 1, 2, 3].map((number) => fixture.section.job(`job-${number}`));
}

test("restores do not change results of random commands", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 30, maxLength: 60 }),
      async (steps) => {
        const plain = new JobsSectionFixture();
        const reloaded = new JobsSectionFixture();
        const granted: ItemReference[] = [];
        const ended = new Map<string, string>();
        plain.upload("file", ITEMS);
        reloaded.upload("file", ITEMS);
        for (const step of steps) {
          if (step.reload) await reloaded.reload();
          const output = applyStep(plain, step, granted);
          t.deepEqual(applyStep(reloaded, step, granted), output);
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

/** Checks that counts add up and each ended item keeps its one result. */
function checkInvariants(
  t: ExecutionContext,
  fixture: JobsSectionFixture,
  ended: Map<string, string>,
): void {
  for (const job of countsOf(fixture)) {
    if (!job) continue;
    const { total, pending, leased } = job.counts;
    const terminal = TERMINAL.reduce((sum, key) => sum + job.counts[key], 0);
    t.is(pending + leased + terminal, total);
    const lines = fixture.lines(job.id);
    t.is(lines.length, terminal);
    t.is(job.state === "running", terminal < total);
    lines.forEach((line, position) => {
      const key = `${job.id}/${position}`;
      t.is(ended.get(key) ?? line, line);
      ended.set(key, line);
    });
  }
}

test("key can be used again only for the same job", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", ITEMS);
  fixture.upload("copy", ITEMS);
  fixture.upload("other", ITEMS + 1);
  fixture.submit("job-0", { key: "key" });
  const ids = ["file", "copy"].map((fileId) => {
    const output = fixture.submit("job-1", { key: "key", fileId });
    return output.kind === "job" ? output.job.id : output.kind;
  });
  t.deepEqual(ids, ["job-0", "job-0"]);
  for (const change of [{ fileId: "other" }, { fingerprint: "else" }]) {
    const output = fixture.submit("job-2", { key: "key", ...change });
    t.like(output, { kind: "refused", code: "conflict" });
  }
  t.is(fixture.section.job("job-2"), undefined);
});

test("job above the limit of queued items is refused", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", ITEMS);
  const queuedItemsLimit = ITEMS + 1;
  t.like(fixture.submit("job-0", { queuedItemsLimit }), { kind: "job" });
  const refused = { kind: "refused", code: "limit-exceeded" };
  t.like(fixture.submit("job-1", { queuedItemsLimit }), refused);
  fixture.apply({ kind: "cancel", jobId: "job-0" });
  t.like(fixture.submit("job-1", { queuedItemsLimit }), { kind: "job" });
});

test("only the first completion of an item is recorded", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", 1);
  fixture.submit("job-0");
  const [first] = fixture.grant("lease-0", 1);
  fixture.apply({ kind: "expire", leaseId: "lease-0" });
  fixture.now += 10_000;
  const [second] = fixture.grant("lease-1", 1);
  t.truthy(first && second);
  if (!first || !second) return;
  t.is(second.attempt, 2);
  const complete = (item: ItemReference, line: string) =>
    fixture.apply({
      kind: "complete",
      outcomes: [{ ...item, status: "done", line }],
    });
  t.like(complete(first, "winner"), { recorded: [first] });
  t.like(complete(second, "late"), { recorded: [] });
  t.like(complete(first, "again"), { recorded: [] });
  t.deepEqual(fixture.lines("job-0"), ["winner"]);
  t.is(fixture.section.lateOutcomes, 2);
});

test("repeated release of an item has no effect", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", 1);
  fixture.submit("job-0");
  const [first] = fixture.grant("lease-0", 1);
  if (!first) return t.fail();
  const outcomes = [{ ...first, status: "released" as const, line: "" }];
  fixture.apply({ kind: "complete", outcomes });
  t.is(fixture.grant("lease-1", 1).length, 1);
  fixture.apply({ kind: "complete", outcomes });
  t.is(fixture.section.job("job-0")?.counts.leased, 1);
});

test("an item that always fails is retried up to the limit", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", ITEMS);
  fixture.submit("job-0");
  let grants = 0;
  for (let round = 0; round < 20; round++) {
    const items = fixture.grant("lease", ITEMS);
    grants += items.filter(({ index }) => index === 0).length;
    const outcomes = items.map((item) => ({
      ...item,
      status: item.index === 0 ? "again" as const : "done" as const,
      line: `${item.index}`,
    }));
    fixture.apply({ kind: "complete", outcomes });
    if (round === 0) {
      t.is(fixture.section.job("job-0")?.counts.done, ITEMS - 1);
      t.is(fixture.grant("lease", ITEMS).length, 0);
    }
    fixture.now += 1_000;
  }
  t.is(grants, MAXIMUM_FAILURES);
  t.like(fixture.section.job("job-0")?.counts, { failed: 1, done: ITEMS - 1 });
});

test("non-idempotent items of an expired lease do not run again", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", 2);
  fixture.submit("job-0", { idempotent: false });
  t.is(fixture.grant("lease", 2).length, 2);
  fixture.apply({ kind: "expire", leaseId: "lease" });
  t.is(fixture.grant("lease-1", 2).length, 0);
  t.like(fixture.section.job("job-0"), {
    state: "finished",
    counts: { mayHaveRun: 2 },
  });
  const [line] = fixture.lines("job-0").map((text) => JSON.parse(text));
  t.like(line, { custom_id: "item-0", error: { verdict: "may-have-run" } });
});

test("cancelled items have result lines", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", ITEMS);
  fixture.submit("job-0");
  fixture.grant("lease", 2);
  fixture.apply({ kind: "cancel", jobId: "job-0" });
  const lines = fixture.lines("job-0").map((text) => JSON.parse(text));
  t.deepEqual(
    lines.map((line) => line.custom_id),
    Array.from({ length: ITEMS }, (_, index) => `item-${index}`),
  );
  t.is(lines[0].error.code, "cancelled");
});

test("callers are served in turn, earlier deadlines first", (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", 100);
  fixture.upload("small", 100, "committee");
  fixture.submit("late", { deadlineAt: 2_000_000 });
  fixture.submit("soon", { deadlineAt: 1_000_000 });
  fixture.submit("other", { caller: "committee", fileId: "small" });
  const items = fixture.grant("lease", 80);
  const count = (id: string) =>
    items.filter(({ jobId }) => jobId === id).length;
  t.is(count("other"), 40);
  t.true(count("soon") > count("late"));
  t.true(count("late") > 0);
});

test("ended jobs and unused files are deleted by age", async (t) => {
  const fixture = openFixture(t);
  fixture.upload("file", 1);
  fixture.apply({
    kind: "open-file",
    fileId: "abandoned",
    caller: "station",
    name: "x",
  });
  fixture.submit("job-0");
  fixture.apply({ kind: "cancel", jobId: "job-0" });
  t.false(fixture.section.isSweepDue(fixture.now));
  fixture.now += 2 * JOB_RETENTION_MILLISECONDS;
  t.true(fixture.section.isSweepDue(fixture.now));
  fixture.apply({ kind: "sweep" });
  t.is(fixture.section.job("job-0"), undefined);
  t.is(fixture.section.file("abandoned"), undefined);
  t.like(fixture.submit("job-0"), { kind: "job" });
  fixture.apply({ kind: "cancel", jobId: "job-0" });
  fixture.now += JOB_RETENTION_MILLISECONDS;
  fixture.apply({ kind: "sweep" });
  fixture.now += JOB_RETENTION_MILLISECONDS;
  fixture.apply({ kind: "sweep" });
  t.is(fixture.section.file("file"), undefined);
  t.deepEqual((await fixture.section.snapshot()).files, []);
  t.false(fixture.section.isSweepDue(Number.MAX_SAFE_INTEGER));
});
