import test from "ava";
import fc from "fast-check";
import { FakeDisk, FakeStorage } from "../../testing/fake_storage.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { Entry } from "./entry.ts";
import { recoverLog } from "./log_recovery.ts";
import type { ILogPosition, LogStore } from "./log_store.ts";
import { WriteAheadLog } from "./write_ahead_log.ts";

const SEGMENT_BYTES = 400;

/** Data folder whose power may fail before any change of it. */
class TestFolder {
  /** Position of the durable snapshot. */
  snapshot: ILogPosition | undefined;
  /** Changes until the power fails; undefined if it does not. */
  changesLeft: number | undefined;
  #disk: FakeDisk;

  constructor(seed = 1) {
    this.#disk = new FakeDisk(new TestRandom(seed));
    this.#disk.syncMilliseconds = 0;
  }

  async open(): Promise<LogStore> {
    const clock = new VirtualClock(new VirtualTime());
    const storage = new FakeStorage(this.#disk, clock);
    for (const method of ["append", "sync", "remove"] as const) {
      const run = storage[method].bind(storage) as (...args: never[]) => void;
      Object.assign(storage, {
        [method]: (...args: never[]) => {
          this.#countChange();
          return run(...args);
        },
      });
    }
    const wal = new WriteAheadLog(storage, { segmentBytes: SEGMENT_BYTES });
    const { snapshot } = this;
    return (await recoverLog(wal, { snapshot, clock })).log;
  }

  /** Loses unsynced bytes, and opens the log again. */
  async restart(): Promise<LogStore> {
    this.changesLeft = undefined;
    this.#disk.crash();
    return await this.open();
  }

  #countChange(): void {
    if (this.changesLeft === undefined) return;
    this.changesLeft -= 1;
    if (this.changesLeft < 0) throw new Error("the power fails");
  }
}

function entry(index: number, term: number): Entry {
  const body = { kind: "command" as const, section: "s", command: { index } };
  return { index, term, proposedAt: term, body };
}

function entriesBetween(first: number, last: number, term: number): Entry[] {
  const length = Math.max(0, last - first + 1);
  return Array.from({ length }, (_, offset) => entry(first + offset, term));
}

/** Base position and terms of the entries of a log. */
function summary(base: ILogPosition, entries: readonly Entry[]): string {
  const terms = entries.map(({ index, term }) => `${index}:${term}`);
  return [`${base.index}:${base.term}`, ...terms].join(" ");
}

async function summaryOf(log: LogStore): Promise<string> {
  const index = log.firstIndex - 1;
  const entries = await log.entriesFrom(index + 1, Number.MAX_SAFE_INTEGER);
  return summary({ index, term: log.termAt(index) ?? -1 }, entries);
}

// A store whose unreplicated entries crossed the end of a segment could not be
// started any more after a snapshot had removed that segment (review/6).
test("entries replaced across segments survive a removal", async (t) => {
  const folder = new TestFolder();
  const log = await folder.open();
  // The entries of term 1 fill two segments and part of a third one.
  for (const entry of entriesBetween(1, 12, 1)) await log.append([entry]);
  for (const entry of entriesBetween(3, 14, 2)) await log.append([entry]);
  folder.snapshot = { index: 6, term: 2 };
  await log.compact(6);
  const expected = summary(folder.snapshot, entriesBetween(7, 14, 2));
  t.is(await summaryOf(log), expected);
  t.is(await summaryOf(await folder.restart()), expected);
});

/** Change of the log, or of the snapshot before it. */
const operation = fc.record({
  kind: fc.constantFrom("append", "append", "append", "compact", "install"),
  /** Number of uncommitted entries that are replaced at most. */
  back: fc.nat({ max: 6 }),
  count: fc.integer({ min: 1, max: 4 }),
  /** Share of the entries that may be committed or covered, in tenths. */
  share: fc.nat({ max: 10 }),
  /** Changes of the folder after which the power fails, if it does. */
  crashAfter: fc.option(fc.nat({ max: 4 }), { nil: undefined, freq: 4 }),
});

// Whatever is written, replaced, covered by a snapshot and removed, and wherever
// a crash comes between, the folder can be read and holds what was synced.
test("recovers any log after crashes at any change", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(operation, { minLength: 5, maxLength: 60, size: "max" }),
      fc.integer(),
      async (operations, seed) => {
        const folder = new TestFolder(seed);
        let log = await folder.open();
        let base = { index: 0, term: 0 };
        let entries: Entry[] = [];
        let commitIndex = 0;
        for (const [position, operation] of operations.entries()) {
          const { kind, back, count, share, crashAfter } = operation;
          const term = position + 1;
          const last = base.index + entries.length;
          let allowed = [summary(base, entries)];
          folder.changesLeft = crashAfter;
          if (kind === "append") {
            const first = Math.max(commitIndex, last - back) + 1;
            const added = entriesBetween(first, first + count - 1, term);
            const kept = entries.slice(0, first - base.index - 1);
            entries = [...kept, ...added];
            allowed.push(summary(base, entries));
            await log.append(added).catch(() => {});
            commitIndex += Math.floor(
              (base.index + entries.length - commitIndex) * share / 20,
            );
          } else if (kind === "compact") {
            const index = base.index +
              Math.floor((commitIndex - base.index) * share / 10);
            const covered = entries[index - base.index - 1];
            if (!covered) continue;
            base = { index, term: covered.term };
            entries = entries.filter((entry) => entry.index > index);
            folder.snapshot = base;
            allowed = [summary(base, entries)];
            await log.compact(index);
          } else {
            const index = commitIndex + 1 + back;
            const held = entries[index - base.index - 1];
            base = { index, term: held && share < 5 ? held.term : term };
            const rest = entries.filter((entry) => entry.index > index);
            // Until the log is reset, entries after the same one may remain.
            allowed = held?.term === base.term ? [summary(base, rest)] : [];
            entries = [];
            allowed.push(summary(base, entries));
            folder.snapshot = base;
            commitIndex = index;
            await log.restartAfter(base).catch(() => {});
          }
          if (crashAfter === undefined) {
            t.is(await summaryOf(log), summary(base, entries));
            continue;
          }
          log = await folder.restart();
          const recovered = await summaryOf(log);
          t.true(allowed.includes(recovered), `${recovered} in ${allowed}`);
          entries = await log.entriesFrom(base.index + 1, 1e9);
          commitIndex = Math.min(commitIndex, base.index + entries.length);
        }
        t.is(await summaryOf(await folder.restart()), summary(base, entries));
      },
    ),
    { seed: 55, numRuns: 400 },
  );
});
