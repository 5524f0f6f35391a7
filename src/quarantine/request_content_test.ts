import { Buffer } from "node:buffer";
import test from "ava";
import { contentIdsOf, isContentId, isSameContent } from "./request_content.ts";

const CONTENT = {
  host: "one.example",
  method: "POST",
  path: "/live/1",
  body: Buffer.from("prompt"),
  headers: [["Model", "m"], ["X-Caller", "a"]] as const,
};

test("repetitions of a request have the same identifiers", (t) => {
  const headers = [["x-caller", "a"], ["model", "m"]] as const;
  t.deepEqual(contentIdsOf(CONTENT), contentIdsOf({ ...CONTENT, headers }));
  t.true(contentIdsOf(CONTENT).every(isContentId));
});

test("equal requests of two callers share the general identifier", (t) => {
  const headers = [["Model", "m"], ["X-Caller", "b"]] as const;
  const [general, specific] = contentIdsOf(CONTENT);
  const [otherGeneral, otherSpecific] = contentIdsOf({ ...CONTENT, headers });
  t.is(general, otherGeneral);
  t.not(specific, otherSpecific);
  t.true(isSameContent(specific ?? "", otherSpecific ?? ""));
});

test("another path, method, host or body is another request", (t) => {
  const [general] = contentIdsOf(CONTENT);
  const changes = [
    { path: "/live/2" },
    { method: "PUT" },
    { host: "two.example" },
    { body: Buffer.from("prompts") },
  ];
  for (const change of changes) {
    t.not(contentIdsOf({ ...CONTENT, ...change })[0], general);
  }
});
