import test from "ava";
import fc from "fast-check";
import { FakeDisk, FakeStorage } from "../../testing/fake_storage.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { CorruptionError } from "./corruption_error.ts";
import type { Entry } from "./entry.ts";
import { type IRecoveredLog, WriteAheadLog } from "./write_ahead_log.ts";

const SEGMENT_BYTES = 400;

function open(seed = 1) {
  const disk = new FakeDisk(new TestRandom(seed));
  disk.syncMilliseconds = 0;
  return { disk, storage: reopen(disk) };
}

function reopen(disk: FakeDisk): FakeStorage {
  return new FakeStorage(disk, new VirtualClock(new VirtualTime()));
}

function log(storage: FakeStorage): WriteAheadLog {
  return new WriteAheadLog(storage, { segmentBytes: SEGMENT_BYTES });
}

function entry(index: number, term: number): Entry {
  const body = { kind: "command" as const, section: "s", command: { index } };
  return { index, term, proposedAt: term, body };
}

async function append(wal: WriteAheadLog, entries: Entry[]): Promise<void> {
  const records = entries.map((entry) => JSON.stringify(entry));
  await wal.append(records, entries.at(-1)?.index ?? 0);
}

/** Reads the entries that a log has recovered. */
async function readAll(
  wal: WriteAheadLog,
  recovered: IRecoveredLog,
): Promise<Entry[]> {
  const read: Entry[] = [];
  for (const { location } of recovered.entries) {
    if (location) read.push(...await wal.read([location]));
  }
  return read;
}

/** Five frames in one segment. */
async function filled(): Promise<FakeDisk> {
  const { disk, storage } = open();
  const wal = new WriteAheadLog(storage);
  for (let index = 1; index <= 5; index++) {
    await append(wal, [entry(index, 1)]);
  }
  return disk;
}

function onlySegment(disk: FakeDisk) {
  const file = disk.files.get("log/000000000001.wal");
  if (!file) throw new Error("no segment");
  return file;
}

test("incomplete last write is truncated", async (t) => {
  const disk = await filled();
  const file = onlySegment(disk);
  file.bytes = file.bytes.subarray(0, file.bytes.length - 3);
  const recovered = await new WriteAheadLog(reopen(disk)).recover(0);
  const indexes = [...recovered.entries].map(({ index }) => index);
  t.deepEqual(indexes, [1, 2, 3, 4]);
  t.true(recovered.truncatedBytes > 0);
  const again = await new WriteAheadLog(reopen(disk)).recover(0);
  t.is(again.truncatedBytes, 0);
});

test("corrupt frame before the last is rejected", async (t) => {
  for (const position of [0, 5, 9, 20, 130]) {
    const disk = await filled();
    const { bytes } = onlySegment(disk);
    bytes[position] = (bytes[position] ?? 0) ^ 1;
    const wal = new WriteAheadLog(reopen(disk));
    await t.throwsAsync(wal.recover(0), { instanceOf: CorruptionError });
  }
});

test("missing segment is rejected", async (t) => {
  const { disk, storage } = open();
  const wal = log(storage);
  for (let index = 1; index <= 30; index++) {
    await append(wal, [entry(index, 1)]);
  }
  t.true(wal.segmentCount > 3);
  disk.files.delete("log/000000000002.wal");
  await t.throwsAsync(log(reopen(disk)).recover(0), {
    instanceOf: CorruptionError,
  });
});

test("old segments are removed", async (t) => {
  const { disk, storage } = open();
  const wal = log(storage);
  for (let index = 1; index <= 60; index++) {
    await append(wal, [entry(index, 1)]);
    await wal.removeThrough(index - 10);
  }
  t.true(disk.files.size < 6);
  const { entries } = await log(reopen(disk)).recover(50);
  t.is(entries.at(0)?.index, 51);
  t.is(entries.last?.index, 60);
});

test("recovers synced entries after random writes and a crash", async (t) => {
  // Each write replaces up to three entries at the end and appends some.
  const write = fc.record({
    back: fc.nat({ max: 3 }),
    count: fc.integer({ min: 1, max: 4 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(write, { minLength: 1, maxLength: 25 }),
      fc.integer(),
      async (writes, seed) => {
        const { disk, storage } = open(seed);
        const wal = log(storage);
        let model: Entry[] = [];
        let before: Entry[] = [];
        for (const [term, { back, count }] of writes.entries()) {
          before = model;
          const kept = Math.max(0, model.length - back);
          const added = Array.from(
            { length: count },
            (_, offset) => entry(kept + offset + 1, term),
          );
          model = [...model.slice(0, kept), ...added];
          // The crash comes before the last write is synced.
          const isLast = term === writes.length - 1;
          if (isLast) storage.sync = () => Promise.resolve();
          await append(wal, added);
        }
        disk.crash();
        const reopened = log(reopen(disk));
        const entries = await readAll(reopened, await reopened.recover(0));
        const expected = entries.length === model.length &&
            entries.at(-1)?.term === model.at(-1)?.term
          ? model
          : before;
        t.deepEqual(entries, expected);
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});
