import { existsSync } from "node:fs";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import test from "ava";
import { findCatalogueErrors, loadCatalogue } from "./catalogue.ts";
import { isSamePage, renderEventsPage } from "./events_page.ts";

test("event numbers are unique and in range", async (t) => {
  t.deepEqual(findCatalogueErrors(await loadCatalogue()), []);
});

test("catalogue contains the events of every slice", async (t) => {
  const found = new Set((await loadCatalogue()).map(({ slice }) => slice));
  const slices = (await readdir("src"))
    .filter((slice) => existsSync(join("src", slice, "events.ts")));
  t.deepEqual([...found].sort(), slices.sort());
});

test("events are defined only in events.ts", async (t) => {
  const files = await readdir("src", { recursive: true });
  for (const file of files.filter((file) => file.endsWith(".ts"))) {
    if (/(^|\/)(events|define_event|.*_test)\.ts$/.test(file)) continue;
    const text = await readFile(join("src", file), "utf8");
    t.false(/\bdefineEvent\(/.test(text), file);
  }
});

test("docs/EVENTS.md is up to date", async (t) => {
  const page = await readFile("docs/EVENTS.md", "utf8");
  const rendered = renderEventsPage(await loadCatalogue());
  t.true(isSamePage(page, rendered), "run `npm run events`");
});

test("duplicates and numbers out of range are reported", async (t) => {
  const [first] = await loadCatalogue();
  if (!first) return t.fail();
  t.deepEqual(findCatalogueErrors([first, { ...first, slice: "jobs" }]), [
    "number 100 is used twice",
    "name daemon-started is used twice",
    "100 is outside the range of jobs",
  ]);
});

test("events named in docs/operations exist", async (t) => {
  const numbers = new Set(
    (await loadCatalogue()).map(({ event }) => String(event.number)),
  );
  const folder = join("docs", "operations");
  for (const page of await readdir(folder)) {
    const text = await readFile(join(folder, page), "utf8");
    const named = text.matchAll(
      /\bevents? (\d{3})(?:,? (?:and|or) (\d{3}))?/gi,
    );
    for (const [, first, second] of named) {
      for (const number of [first, second]) {
        if (number) t.true(numbers.has(number), `${page}: event ${number}`);
      }
    }
  }
  t.pass();
});
