import test from "ava";
import { BulkSection } from "./bulk_section.ts";
import type { BulkJob } from "./types.ts";

const JOB: BulkJob = {
  id: "job",
  host: "reports.example",
  path: "/reports/1",
  items: ["one", "two"].map((id) => ({
    id,
    path: "/reports/1",
    headers: {},
    body: "",
    tokens: 1,
  })),
};

const CONTEXT = { index: 1, term: 1, proposedAt: 1_000 };

/** Records a result that continues a number of events of its progress. */
function record(section: BulkSection, item: string, text: string, from = 0) {
  const data = text === "" ? [] : text.split("\n");
  const command = { kind: "record" as const, job: "job", item, from, data };
  return section.apply({ ...command, state: "done" }, CONTEXT).isKnown;
}

function sectionWithJob(): BulkSection {
  const section = new BulkSection();
  section.apply({ kind: "submit", job: JOB }, CONTEXT);
  return section;
}

test("submitting a job again has no effect", (t) => {
  const section = sectionWithJob();
  record(section, "one", "first");
  section.apply({ kind: "submit", job: JOB }, { ...CONTEXT, index: 9 });
  t.is(section.job("job")?.results.length, 1);
  t.is(section.openJobs().length, 1);
});

test("keeps the first result of each item in order of arrival", (t) => {
  const section = sectionWithJob();
  record(section, "two", "second");
  record(section, "two", "another");
  record(section, "stranger", "of another job");
  record(section, "one", "first");
  const texts = section.job("job")?.results.map(({ text }) => text);
  t.deepEqual(texts, ["second", "first"]);
  t.is(section.openJobs().length, 0);
});

test("ended job is not open and keeps its results", (t) => {
  const section = sectionWithJob();
  record(section, "one", "first");
  t.true(section.apply({ kind: "end", job: "job" }, CONTEXT).isKnown);
  t.false(section.apply({ kind: "end", job: "other" }, CONTEXT).isKnown);
  t.is(section.openJobs().length, 0);
  t.is(section.job("job")?.results.length, 1);
});

test("snapshot restores jobs and their results", async (t) => {
  const section = sectionWithJob();
  record(section, "two", "second");
  const snapshot = JSON.parse(JSON.stringify(await section.snapshot()));
  const other = new BulkSection();
  await other.restore(snapshot);
  t.deepEqual(other.job("job"), section.job("job"));
  t.true(other.hasResult("job", "two"));
  t.is(other.findOpenItem("job", "one")?.id, "one");
  t.is(other.findOpenItem("job", "two"), undefined);
});

test("progress skips recorded events and is ignored after a gap", (t) => {
  const section = sectionWithJob();
  const write = (from: number, data: string[]) => {
    const lastEventId = String(from + data.length);
    const delta = { job: "job", item: "one", from, data, lastEventId };
    section.apply({ kind: "progress", deltas: [delta] }, CONTEXT);
  };
  write(0, ["a", "b"]);
  write(2, ["c"]);
  // Written again, because the answer to the first write was lost.
  write(2, ["c", "d"]);
  t.deepEqual(section.progress("job", "one")?.data, ["a", "b", "c", "d"]);
  // Ignored, since the events in between are missing.
  write(9, ["z"]);
  t.is(section.progress("job", "one")?.lastEventId, "4");
  record(section, "one", "a\nb\nc\nd");
  t.is(section.progress("job", "one"), undefined);
  write(0, ["late"]);
  t.is(section.progress("job", "one"), undefined);
});

test("result is appended to the progress, rejected after a gap", (t) => {
  const section = sectionWithJob();
  const delta = { job: "job", item: "one", from: 0, lastEventId: "2" };
  section.apply({
    kind: "progress",
    deltas: [{ ...delta, data: ["a", "b"] }],
  }, CONTEXT);
  t.false(record(section, "one", "d", 3), "events in between are missing");
  t.false(section.hasResult("job", "one"));
  t.true(record(section, "one", "c", 2));
  t.is(section.job("job")?.results[0]?.text, "a\nb\nc");
});

test("items with a result lose their body, but not in the log entry", (t) => {
  const section = new BulkSection();
  const items = JOB.items.map((item) => ({ ...item, body: "Ym9keQ==" }));
  const job = { ...JOB, items: [...items] };
  section.apply({ kind: "submit", job }, CONTEXT);
  t.is(section.findOpenItem("job", "one")?.body, "Ym9keQ==");
  record(section, "one", "first");
  t.is(section.findOpenItem("job", "one"), undefined);
  t.is(section.job("job")?.job.items[0]?.body, "");
  t.is(section.findOpenItem("job", "two")?.body, "Ym9keQ==");
  t.deepEqual(job.items, items, "the log entry is unchanged");
  section.apply({ kind: "end", job: "job" }, CONTEXT);
  t.is(section.findOpenItem("job", "two"), undefined);
});

test("closed jobs are deleted by age; open jobs are kept", (t) => {
  const section = sectionWithJob();
  t.deepEqual(
    section.closedJobsAcceptedBefore(5_000),
    [],
    "an open job is kept",
  );
  record(section, "one", "first");
  record(section, "two", "second");
  t.deepEqual(section.closedJobsAcceptedBefore(CONTEXT.proposedAt), []);
  t.deepEqual(section.closedJobsAcceptedBefore(5_000), ["job"]);
  section.apply({ kind: "forget", jobs: ["job"] }, CONTEXT);
  t.is(section.job("job"), undefined);
});
