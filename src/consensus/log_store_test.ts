import test from "ava";
import { FakeDisk, FakeStorage } from "../../testing/fake_storage.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { CorruptionError } from "./corruption_error.ts";
import type { Entry } from "./entry.ts";
import { HeldEntries } from "./held_entries.ts";
import { LogStore } from "./log_store.ts";
import { WriteAheadLog } from "./write_ahead_log.ts";

const BODY_CHARACTERS = 1_000;

function entry(index: number, term = 1): Entry {
  const command = { index, body: "x".repeat(BODY_CHARACTERS) };
  const body = { kind: "command" as const, section: "s", command };
  return { index, term, proposedAt: term, body };
}

function open(maximumCharacters: number) {
  const disk = new FakeDisk(new TestRandom(1));
  disk.syncMilliseconds = 0;
  const clock = new VirtualClock(new VirtualTime());
  const storage = new FakeStorage(disk, clock);
  const wal = new WriteAheadLog(storage, { segmentBytes: 5_000 });
  const entries = new HeldEntries(maximumCharacters);
  const base = { index: 0, term: 0 };
  return { disk, log: new LogStore(wal, base, { entries, clock }) };
}

// Guards against stores that run out of memory because the entries between two
// snapshots are large.
test("entries beyond the size in memory are read from disk", async (t) => {
  const { log } = open(3 * BODY_CHARACTERS);
  for (let index = 1; index <= 30; index++) await log.append([entry(index)]);
  t.true(log.loadedCharacters <= 3 * BODY_CHARACTERS);
  t.true(log.characters > 30 * BODY_CHARACTERS);
  const all = Array.from({ length: 30 }, (_, index) => entry(index + 1));
  t.deepEqual(await log.entriesFrom(1, Number.POSITIVE_INFINITY), all);
  t.deepEqual(await log.entriesFrom(7, 1), [entry(7)]);
  t.is(log.termAt(1), 1);
});

test("replaced entries are read as the later ones", async (t) => {
  const { log } = open(0);
  await log.append([1, 2, 3, 4].map((index) => entry(index)));
  await log.append([entry(3, 2), entry(4, 2)]);
  const entries = await log.entriesFrom(1, Number.POSITIVE_INFINITY);
  t.deepEqual(entries.map(({ term }) => term), [1, 1, 2, 2]);
});

test("entries that are compacted while they are read are left out", async (t) => {
  const { log } = open(0);
  for (let index = 1; index <= 30; index++) await log.append([entry(index)]);
  const reading = log.entriesFrom(1, Number.POSITIVE_INFINITY);
  await log.compact(29);
  t.true((await reading).length < 30);
  t.deepEqual(await log.entriesFrom(30, 1), [entry(30)]);
});

test("damaged record is reported when it is read", async (t) => {
  const { disk, log } = open(0);
  await log.append([entry(1)]);
  const file = disk.files.get("log/000000000001.wal");
  if (!file) return t.fail("no segment");
  file.bytes[500] = (file.bytes[500] ?? 0) ^ 1;
  await t.throwsAsync(log.entriesFrom(1, 1), { instanceOf: CorruptionError });
});

test("entries before a snapshot are kept up to a number and a size", async (t) => {
  const { log } = open(0);
  for (let index = 1; index <= 30; index++) await log.append([entry(index)]);
  const start = (entries: number, characters: number) =>
    log.trailingStart(20, { entries, characters });
  t.is(start(5, Number.POSITIVE_INFINITY), 16);
  t.is(start(500, Number.POSITIVE_INFINITY), 1);
  t.is(start(500, 3.5 * BODY_CHARACTERS), 18);
  t.is(start(0, Number.POSITIVE_INFINITY), 21);
});

// Guards against an older data folder with which a store runs out of memory at
// each start.
test("recovers a log without loading all of it", async (t) => {
  const disk = new FakeDisk(new TestRandom(1));
  disk.syncMilliseconds = 0;
  const storage = new FakeStorage(disk, new VirtualClock(new VirtualTime()));
  const wal = new WriteAheadLog(storage);
  const body = "x".repeat(1_000_000);
  for (let index = 1; index <= 20; index++) {
    const large = { ...entry(index).body, command: { index, body } };
    await wal.append([JSON.stringify({ ...entry(index), body: large })], index);
  }
  const reopened = new WriteAheadLog(storage);
  const { entries } = await reopened.recover(0);
  t.is(entries.length, 20);
  t.true(entries.loadedCharacters < 10_000_000);
  const location = entries.at(0)?.location;
  const [first] = await reopened.read(location ? [location] : []);
  t.is(first?.index, 1);
});
