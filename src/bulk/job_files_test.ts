import { mkdtempSync, readdirSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import anyTest, { type TestFn } from "ava";
import type { SectionSnapshot } from "../consensus/mod.ts";
import { BulkSection } from "./bulk_section.ts";
import { JobFiles } from "./job_files.ts";
import type { BulkJob } from "./types.ts";

const test = anyTest as TestFn<{ folder: string }>;

/** Length of a body with which a job is large. */
const LARGE_BODY_CHARACTERS = 40_000;

test.beforeEach((t) => {
  t.context.folder = mkdtempSync(join(tmpdir(), "figroad-requests-"));
});

test.afterEach.always((t) => {
  rmSync(t.context.folder, { recursive: true });
});

function job(id: string, bodyCharacters = LARGE_BODY_CHARACTERS): BulkJob {
  const items = ["one", "two"].map((item) => ({
    ...{ id: `${id}-${item}`, path: `/${item}`, tokens: 1 },
    headers: { Model: "é" },
    body: item.padEnd(bodyCharacters, "x"),
  }));
  return { id, host: "h", path: "/", items };
}

function submit(section: BulkSection, job: BulkJob, index: number): void {
  const context = { index, term: 1, proposedAt: 1 };
  section.apply({ kind: "submit", job }, context);
}

function record(
  section: BulkSection,
  job: string,
  item: string,
  text?: string,
): void {
  const data = text === undefined ? [] : [text];
  const context = { index: 90, term: 1, proposedAt: 1 };
  section.apply({
    ...{ kind: "record", job, item, state: "done", from: 0, data },
  }, context);
}

function body(section: BulkSection, job: string, item: string) {
  const found = section.findOpenItem(job, item);
  return found && section.loadRequest(found).body;
}

/** A snapshot as it is read from disk. */
async function stored(section: BulkSection): Promise<SectionSnapshot> {
  return JSON.parse(JSON.stringify(await section.snapshot()));
}

// Guards against stores that run out of memory under a burst of large jobs.
test("requests of a large job are in a file until it is done", async (t) => {
  const { folder } = t.context;
  const section = new BulkSection(new JobFiles(folder));
  submit(section, job("a"), 1);
  submit(section, job("b", 10), 2);
  t.deepEqual(section.job("a")?.job.items.map((item) => item.body), ["", ""]);
  t.is(section.job("b")?.job.items[0]?.body, "onexxxxxxx");
  const found = section.findOpenItem("a", "a-two");
  const [, expected] = job("a").items;
  t.like(found && section.loadRequest(found), expected ?? {});
  const text = JSON.stringify(await section.snapshot());
  t.true(text.length < LARGE_BODY_CHARACTERS);
  record(section, "a", "a-one");
  t.is(body(section, "a", "a-one"), undefined);
  t.is(body(section, "a", "a-two")?.length, LARGE_BODY_CHARACTERS);
  t.true(section.requestBytes > LARGE_BODY_CHARACTERS);
  record(section, "a", "a-two");
  t.true(section.requestBytes < 100);
  t.true(section.settledBytes > 2 * LARGE_BODY_CHARACTERS);
  for (let count = 0; count < 2; count++) await section.snapshot();
  t.deepEqual(readdirSync(folder), []);
});

test("small jobs are moved to files when there are too many", (t) => {
  const section = new BulkSection(new JobFiles(t.context.folder));
  for (let index = 1; index <= 500; index++) {
    submit(section, job(`${index}`, 10_000), index);
  }
  const loaded = section.openJobs().filter(({ job }) => job.items[0]?.body);
  t.true(loaded.length > 300 && loaded.length < 500);
  t.is(body(section, "500", "500-two")?.length, 10_000);
});

test("restart restores requests from the files of the snapshot", async (t) => {
  const { folder } = t.context;
  const section = new BulkSection(new JobFiles(folder));
  submit(section, job("a"), 1);
  submit(section, job("b"), 2);
  record(section, "a", "a-one");
  const snapshot = await stored(section);
  submit(section, job("c"), 3);
  const other = new BulkSection(new JobFiles(folder));
  await other.restore(snapshot);
  t.deepEqual(readdirSync(folder), ["1", "2"]);
  submit(other, job("c"), 3);
  t.deepEqual(
    [...other.openJobs()].map(({ job }) => job.id),
    ["a", "b", "c"],
  );
  for (const id of ["a", "b", "c"]) {
    t.is(body(other, id, `${id}-two`), job(id).items[1]?.body);
  }
  t.is(other.requestBytes, section.requestBytes);
});

// Guards against an older data folder with which a store runs out of memory at
// each start.
test("requests in a snapshot of an earlier version go to files", async (t) => {
  const { folder } = t.context;
  const earlier = new BulkSection();
  submit(earlier, job("a"), 1);
  submit(earlier, job("b"), 2);
  const snapshot = await stored(earlier);
  const section = new BulkSection(new JobFiles(folder));
  // The snapshot is read twice if the process ends before it takes its own.
  await section.restore(snapshot);
  await section.restore(snapshot);
  t.is(readdirSync(folder).length, 2);
  t.is(section.job("a")?.job.items[0]?.body, "");
  t.is(body(section, "b", "b-two"), job("b").items[1]?.body);
  const again = new BulkSection(new JobFiles(folder));
  await again.restore(await stored(section));
  t.is(body(again, "a", "a-one"), job("a").items[0]?.body);
});

test("requests of ended and forgotten jobs are removed", (t) => {
  const section = new BulkSection(new JobFiles(t.context.folder));
  const context = { index: 9, term: 1, proposedAt: 1 };
  submit(section, job("a"), 1);
  submit(section, job("b"), 2);
  section.apply({ kind: "end", job: "a" }, context);
  section.apply({ kind: "forget", jobs: ["b"] }, context);
  t.is(section.requestBytes, 0);
  t.is(section.openJobs().length, 0);
});

// Guards against stores that run out of memory because results are large, and
// against snapshots that contain all of them.
test("large texts are in files until their jobs are deleted", async (t) => {
  const { folder } = t.context;
  const section = new BulkSection(new JobFiles(folder));
  const large = "é".repeat(70_000);
  const text = (section: BulkSection, id: string, position: number) => {
    const result = section.job(id)?.results[position];
    return result && section.loadResult(result).text;
  };
  for (const [index, id] of ["a", "b"].entries()) {
    submit(section, job(id, 10), index + 1);
    record(section, id, `${id}-one`, large + id);
    record(section, id, `${id}-two`, "small");
  }
  t.is(section.job("a")?.results[0]?.text, "");
  t.is(section.job("a")?.results[1]?.text, "small");
  t.is(text(section, "b", 0), `${large}b`);
  const snapshot = await stored(section);
  t.true(JSON.stringify(snapshot).length < large.length);
  const other = new BulkSection(new JobFiles(folder));
  await other.restore(snapshot);
  t.is(text(other, "a", 0), `${large}a`);
  t.is(text(other, "a", 1), "small");
  const context = { index: 9, term: 1, proposedAt: 1 };
  submit(other, job("c", 10), 3);
  record(other, "c", "c-one", `${large}c`);
  other.apply({ kind: "forget", jobs: ["a"] }, context);
  t.is(text(other, "b", 0), `${large}b`, "its file has another text");
  other.apply({ kind: "forget", jobs: ["b", "c"] }, context);
  for (let count = 0; count < 2; count++) await other.snapshot();
  t.deepEqual(readdirSync(folder), []);
});

test("texts go to files when there are too many in memory", async (t) => {
  const section = new BulkSection(new JobFiles(t.context.folder));
  const text = "x".repeat(60_000);
  for (let index = 0; index < 100; index++) {
    submit(section, job(`${index}`, 10), index + 1);
    record(section, `${index}`, `${index}-one`, text);
    record(section, `${index}`, `${index}-two`, text);
  }
  const { state } = await section.snapshot();
  t.true(JSON.stringify(state).length < 10_000_000);
  const last = section.job("99")?.results[1];
  t.is(last && section.loadResult(last).text, text);
});
