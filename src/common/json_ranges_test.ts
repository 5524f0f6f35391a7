import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import { jsonElements, jsonMembers, parseJson } from "./json_ranges.ts";

test("elements of any array are those that JSON.parse returns", (t) => {
  const text = fc.tuple(fc.array(fc.jsonValue()), fc.constantFrom("", " "));
  fc.assert(
    fc.property(text, ([value, indentation]) => {
      const bytes = Buffer.from(JSON.stringify(value, null, indentation));
      const ranges = [...jsonElements(bytes)];
      const elements = ranges.map((range) => parseJson(bytes, range));
      t.deepEqual(elements, JSON.parse(bytes.toString()));
    }),
    { seed: 11, numRuns: 500 },
  );
});

test("members of any object are those that JSON.parse returns", (t) => {
  const object = fc.dictionary(fc.string(), fc.jsonValue());
  fc.assert(
    fc.property(object, (value) => {
      const bytes = Buffer.from(`x${JSON.stringify(value)}`);
      const members = [...jsonMembers(bytes, 1)]
        .map(([name, range]) => [name, parseJson(bytes, range)]);
      t.deepEqual(members, Object.entries(JSON.parse(JSON.stringify(value))));
    }),
    { seed: 12, numRuns: 500 },
  );
});

test("incomplete text is rejected", (t) => {
  for (const text of ["", "[", "[1", "[1,", `["a`, "[[1]", "{}", "[1;2]"]) {
    const elements = () =>
      [...jsonElements(Buffer.from(text))]
        .map((range) => parseJson(Buffer.from(text), range));
    t.throws(elements, { instanceOf: SyntaxError }, text);
  }
});
