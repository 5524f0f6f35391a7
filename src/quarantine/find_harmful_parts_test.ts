import test from "ava";
import type { Deadline } from "../common/mod.ts";
import {
  countCrashes,
  findHarmfulParts,
  findSuspects,
} from "./find_harmful_parts.ts";
import type { IBrokenRun } from "./types.ts";

const COMPLETED_REQUESTS = 300;

function run(
  engine: string,
  request: string,
  parts: string[],
  at = 0,
): IBrokenRun {
  return { engine, request, parts, brokenAt: at as Deadline };
}

function harmful(
  runs: IBrokenRun[],
  options: { cleared?: string[]; quarantined?: string[]; completed?: number } =
    {},
): string[] {
  const { cleared = [], quarantined = [], completed = COMPLETED_REQUESTS } =
    options;
  return findHarmfulParts(countCrashes(runs), {
    isCleared: (part) => cleared.includes(part),
    isQuarantined: (part) => quarantined.includes(part),
    completedRequests: completed,
  }).map(({ part }) => part);
}

/**
 * Eight engines crash within a second. Each crash breaks a harmful request and
 * four others, which are retried at the next engine and break there again.
 */
function crashOfAllEngines(): IBrokenRun[] {
  return Array.from({ length: 8 }, (_, engine) => {
    const bystanders = [engine, engine - 1].flatMap((first) =>
      Array.from(
        { length: 2 },
        (_, index) =>
          run(`e${engine}`, `r${first}-${index}`, [
            `caller${(first + index) % 3}`,
            `subject${first}-${index}`,
          ]),
      )
    );
    const request = `bad${Math.floor(engine / 2)}`;
    return [run(`e${engine}`, request, ["caller0", "bad"]), ...bystanders];
  }).flat();
}

// Guards against requests that crash one engine after the other (inc-3a1e).
test("part in all crashes is found among bystanders", (t) => {
  t.deepEqual(harmful(crashOfAllEngines()), ["bad"]);
});

// Guards against refusing sound requests with the same first part (inc-3a1e).
test("shared first part is innocent, even without completions", (t) => {
  const runs = Array.from(
    { length: 6 },
    (_, index) => run(`e${index}`, `r${index}`, ["caller", "bad"]),
  );
  t.deepEqual(harmful(runs), ["bad"]);
  t.deepEqual(harmful(runs, { quarantined: ["bad"] }), []);
});

test("harmful first part is found behind various second parts", (t) => {
  const runs = Array.from(
    { length: 6 },
    (_, index) => run(`e${index}`, `r${index}`, ["bad", `subject${index}`]),
  );
  t.deepEqual(harmful(runs), ["bad"]);
});

test("four crashes are too few", (t) => {
  const four = Array.from(
    { length: 4 },
    (_, index) => run(`e${index}`, `r${index}`, ["caller", "bad"]),
  );
  t.deepEqual(harmful(four), []);
});

test("an item that is run again and again condemns its part alone", (t) => {
  const runs = Array.from(
    { length: 5 },
    (_, index) => run(`e${index}`, "item", ["caller", "bad"]),
  );
  t.deepEqual(harmful(runs), ["bad"]);
});

test("part that was answered is innocent", (t) => {
  const runs = crashOfAllEngines();
  const callers = ["caller0", "caller1", "caller2"];
  t.deepEqual(harmful(runs, { cleared: ["bad", ...callers] }), []);
});

test("outage in which nothing is answered condemns no part", (t) => {
  t.deepEqual(harmful(crashOfAllEngines(), { completed: 5 }), []);
});

test("crash of all engines at once condemns no popular caller", (t) => {
  const runs = Array.from(
    { length: 12 },
    (_, engine) =>
      Array.from(
        { length: 8 },
        (_, index) =>
          run(`e${engine}`, `r${engine}-${index}`, [
            `caller${(engine * 5 + index) % 20}`,
            `subject${engine}-${index}`,
          ]),
      ),
  ).flat();
  const cleared = Array.from({ length: 20 }, (_, index) => `caller${index}`);
  t.deepEqual(harmful(runs, { cleared }), []);
});

test("broken answers of an engine within a second are one crash", (t) => {
  const runs = Array.from(
    { length: 8 },
    (_, index) => run("e", `r${index}`, ["caller", "part"], index * 100),
  );
  t.deepEqual(harmful(runs), []);
  const apart = runs.map((it, index) => ({
    ...it,
    brokenAt: index * 2_000 as Deadline,
  }));
  t.deepEqual(harmful(apart), ["part"]);
});

test("parts with two crashes are suspect unless they are cleared", (t) => {
  const runs = [
    run("e1", "r1", ["caller", "a"]),
    run("e2", "r2", ["caller", "b"]),
  ];
  t.deepEqual(findSuspects(countCrashes(runs), { isCleared: () => false }), [
    "caller",
  ]);
  t.deepEqual(findSuspects(countCrashes(runs), { isCleared: () => true }), []);
});

/** Parts of a request, the last two of which identify its content. */
function contentOf(name: string, parts: string[] = ["caller"]): string[] {
  return [...parts, `content:${name}`, `content:${name}:headers`];
}

// Guards against a request that its caller repeats and that crashes one engine
// after the other, although its prompt parts are answered (inc-675b).
test("repeated request is found after three crashes", (t) => {
  const runs = ["e1", "e2", "e3"].flatMap((engine, index) => [
    run(engine, `bad${index}`, contentOf("bad")),
    run(engine, `other${index}`, contentOf(`other${index}`)),
  ]);
  t.deepEqual(harmful(runs, { cleared: ["caller"] }), ["content:bad:headers"]);
  t.deepEqual(harmful(runs.slice(0, 4), { cleared: ["caller"] }), []);
});

// Guards against a caller whose equal request is answered hiding it.
test("equal request of another caller is innocent", (t) => {
  const runs = ["e1", "e2", "e3"].map((engine, index) =>
    run(engine, `bad${index}`, contentOf("bad"))
  );
  const cleared = ["caller", "content:bad", "content:bad:other"];
  t.deepEqual(harmful(runs, { cleared }), ["content:bad:headers"]);
});

test("repeated request is found if its headers change", (t) => {
  const runs = ["e1", "e2", "e3"].map((engine, index) =>
    run(engine, `bad${index}`, ["content:bad", `content:bad:${index}`])
  );
  t.deepEqual(harmful(runs), ["content:bad"]);
});

// Guards against refusing a request that was retried beside a harmful one.
test("companion in all three crashes is told apart by further ones", (t) => {
  const runs = ["e1", "e2", "e3"].flatMap((engine, index) => [
    run(engine, `bad${index}`, contentOf("bad")),
    run(engine, `other${index}`, contentOf("other")),
  ]);
  t.deepEqual(harmful(runs, { cleared: ["caller"] }), []);
  const later = run("e4", "bad3", contentOf("bad"));
  t.deepEqual(harmful([...runs, later], { cleared: ["caller"] }), [
    "content:bad:headers",
  ]);
});

test("requests that are never told apart are refused together", (t) => {
  const runs = ["e1", "e2", "e3", "e4", "e5"].flatMap((engine) => [
    run(engine, `bad ${engine}`, contentOf("bad")),
    run(engine, `other ${engine}`, contentOf("other")),
  ]);
  t.deepEqual(harmful(runs, { cleared: ["caller"] }).sort(), [
    "content:bad:headers",
    "content:other:headers",
  ]);
});

// Guards against one harmful request after the other with the same part, each
// repeated often enough to explain its own crashes (inc-3a1e).
test("part of two harmful requests is their common cause", (t) => {
  const first = ["e1", "e2", "e3"].map((engine) =>
    run(engine, `x ${engine}`, contentOf("x", ["caller", "bad"]))
  );
  const second = ["e4", "e5", "e6"].map((engine) =>
    run(engine, `y ${engine}`, contentOf("y", ["caller", "bad"]))
  );
  const quarantined = ["content:x:headers", "content:y:headers"];
  const cleared = ["caller"];
  const runs = [...first, ...second];
  t.deepEqual(harmful(runs, { cleared, quarantined }), ["bad"]);
  t.deepEqual(
    harmful(first, { cleared, quarantined: ["content:x:headers"] }),
    [],
  );
});
