import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { type IBufferedOutput, OutputBudget } from "./output_budget.ts";

const LIMITS = { responseBytes: 1_000, totalBytes: 10_000 };

/** A response whose reader takes bytes when the test says so. */
class Reader implements IBufferedOutput {
  heldBytes = 0;
  isAborted = false;
  #budget: OutputBudget;

  constructor(budget: OutputBudget) {
    this.#budget = budget;
  }

  /** Writes as an engine sends; returns whether it may send more. */
  write(bytes: number): boolean {
    this.heldBytes += bytes;
    return this.#budget.update(this);
  }

  take(bytes: number): void {
    this.heldBytes = Math.max(0, this.heldBytes - bytes);
    this.#budget.update(this);
  }

  abort(): void {
    this.isAborted = true;
  }
}

// An engine cuts off an answer that stays unread for some seconds.
test("slow reader: the engine is read on up to the bound", (t) => {
  const reader = new Reader(new OutputBudget(new FakeClock(), LIMITS));
  t.true(reader.write(900));
  t.false(reader.write(200), "the engine waits for the reader");
  reader.take(500);
  t.true(reader.write(100));
});

test("600 slow readers stay within the bound of the process", (t) => {
  const clock = new FakeClock();
  const budget = new OutputBudget(clock, LIMITS);
  const readers = Array.from({ length: 600 }, () => new Reader(budget));
  let most = 0;
  for (let round = 0; round < 200; round++) {
    for (const reader of readers) {
      const mayWrite = !reader.isAborted && reader.heldBytes < 1_000 &&
        !budget.isExhausted;
      if (mayWrite) reader.write(50);
      most = Math.max(most, budget.totalBytes);
    }
    for (const reader of readers) if (!reader.isAborted) reader.take(10);
    clock.advance(100);
  }
  t.true(most <= LIMITS.totalBytes + 50, String(most));
  t.is(readers.filter(({ isAborted }) => isAborted).length, 0);
});

test("full: the reader that stopped longest is given up, no slow one", (t) => {
  const clock = new FakeClock();
  const budget = new OutputBudget(clock, LIMITS);
  const [stopped, later, slow] = [1, 2, 3].map(() => new Reader(budget));
  stopped!.write(4_000);
  clock.advance(500);
  later!.write(3_000);
  slow!.write(2_500);
  clock.advance(3_000);
  slow!.take(10);
  t.false(slow!.write(1_000));
  t.deepEqual([stopped, later, slow].map((it) => it!.isAborted), [
    ...[true, false, false],
  ]);
  t.is(budget.totalBytes, 6_490);
  t.false(budget.isExhausted, "new requests are served again");
});

test("responses that ended hold nothing", (t) => {
  const budget = new OutputBudget(new FakeClock(), LIMITS);
  const reader = new Reader(budget);
  reader.write(700);
  budget.remove(reader);
  t.deepEqual([budget.totalBytes, budget.holders], [0, 0]);
});
