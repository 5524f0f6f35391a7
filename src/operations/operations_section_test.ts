import test from "ava";
import fc from "fast-check";
import { SystemClock } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { err, ok } from "neverthrow";
import { mayHaveRun } from "../common/mod.ts";
import type { OperationsCommand, OperationsOutput } from "./messages.ts";
import { OperationLedger } from "./operation_ledger.ts";
import { OperationsSection } from "./operations_section.ts";

const SEED = 11;
const RUNS = 300;
const LIMITS = {
  retentionMilliseconds: 1_000,
  records: 6,
  recordsPerCaller: 4,
  answerCharacters: 20,
};
const ANSWER = { status: 200, contentType: "text/plain", body: "0123456789" };

function apply(
  section: OperationsSection,
  command: OperationsCommand,
  proposedAt = 0,
): OperationsOutput {
  return section.apply(command, { index: 1, term: 1, proposedAt });
}

function begin(key: string, attempt: string, change: object = {}) {
  const kind = "begin" as const;
  return { kind, caller: "c", key, attempt, fingerprint: "f", ...change };
}

function complete(key: string, attempt: string) {
  const kind = "complete" as const;
  return { kind, caller: "c", key, attempt, answer: ANSWER };
}

test("new operation is refused at the limit of a caller's records", (t) => {
  const section = new OperationsSection(LIMITS);
  for (const key of ["1", "2", "3", "4"]) apply(section, begin(key, key));
  t.is(apply(section, begin("5", "5")).kind, "full");
  t.is(apply(section, begin("1", "x")).kind, "in-progress");
  t.is(apply(section, begin("5", "5"), 1_000).kind, "begun");
  t.is(section.size, 1);
});

test("oldest answers are dropped first", (t) => {
  const section = new OperationsSection(LIMITS);
  for (const key of ["1", "2", "3"]) {
    apply(section, begin(key, key));
    apply(section, complete(key, key));
  }
  t.is(apply(section, begin("1", "x")).kind, "answer-dropped");
  t.is(apply(section, begin("3", "x")).kind, "completed");
});

test("snapshot restores completed and running operations", async (t) => {
  const section = new OperationsSection(LIMITS);
  apply(section, begin("1", "1"));
  apply(section, begin("2", "2"));
  apply(section, complete("1", "1"));
  const restored = new OperationsSection(LIMITS);
  const snapshot = JSON.parse(JSON.stringify(await section.snapshot()));
  await restored.restore(snapshot);
  t.deepEqual(await restored.snapshot(), await section.snapshot());
  t.is(apply(restored, begin("1", "x")).kind, "completed");
  t.is(apply(restored, begin("2", "x")).kind, "in-progress");
});

test("only one attempt runs per key", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("begin", "complete", "abandon"),
    attempt: fc.constantFrom("1", "2", "3"),
  });
  const property = fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
    const section = new OperationsSection(LIMITS);
    const running = new Set<string>();
    for (const { kind, attempt } of steps) {
      const key = { caller: "c", key: "k", attempt };
      if (kind === "begin") {
        const output = apply(section, begin("k", attempt));
        if (output.kind === "begun") running.add(attempt);
      } else if (kind === "complete") {
        apply(section, { kind, ...key, answer: ANSWER });
      } else if (kind === "abandon" && running.delete(attempt)) {
        apply(section, { kind, ...key });
      }
      if (running.size > 1) throw new Error("two attempts may run");
    }
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: RUNS }));
});

test("late duplicate of an abandoned attempt is refused", (t) => {
  const section = new OperationsSection(LIMITS);
  apply(section, begin("k", "1"));
  const { caller, key, attempt } = begin("k", "1");
  apply(section, { kind: "abandon", caller, key, attempt });
  t.is(apply(section, begin("k", "1")).kind, "in-progress");
  t.is(apply(section, begin("k", "2")).kind, "begun");
});

test("begin command with a lost answer is retried and runs once", async (t) => {
  const section = new OperationsSection(LIMITS);
  let calls = 0;
  const control = {
    propose(_definition: unknown, command: OperationsCommand) {
      const output = apply(section, command);
      const lost = ++calls === 1;
      return Promise.resolve(
        lost ? err(mayHaveRun("unavailable", "answer lost")) : ok(output),
      );
    },
  } as unknown as IControlClient;
  const clock = new SystemClock();
  const events = new SilentEventLog();
  const ledger = new OperationLedger(control, { clock, events });
  const options = { deadline: clock.deadlineIn(5_000), fingerprint: "f" };
  const operation = { caller: "c", key: "k" };
  const first = await ledger.begin({ ...operation, attempt: "1" }, options);
  const second = await ledger.begin({ ...operation, attempt: "2" }, options);
  t.is(first.unwrapOr(undefined)?.kind, "begun");
  t.is(second.unwrapOr(undefined)?.kind, "in-progress");
});
