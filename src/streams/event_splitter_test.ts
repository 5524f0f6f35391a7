import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import { EventSplitter, fieldValues } from "./event_splitter.ts";

test("splits events however the bytes are chunked", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  const bytes = Buffer.from(text);
  fc.assert(fc.property(
    fc.array(fc.nat({ max: bytes.length }), { minLength: 0, maxLength: 9 }),
    (positions) => {
      const splitter = new EventSplitter();
      const ends = [...positions.sort((a, b) => a - b), bytes.length];
      let from = 0;
      const events = ends.flatMap((end) => {
        const found = splitter.push(bytes.subarray(from, end));
        from = end;
        return found;
      });
      const joined = Buffer.concat(events.map((event) => event.bytes));
      return joined.equals(bytes) && splitter.incompleteBytes.length === 0 &&
        events.map(({ id }) => id).join() === "1,2,3";
    },
  ));
  t.pass();
});

test("keeps an incomplete event until the rest arrives", (t) => {
  const splitter = new EventSplitter();
  t.is(splitter.push(Buffer.from("id: 1\ndata: a\n")).length, 0);
  t.is(splitter.incompleteBytes.length, 14);
  t.is(splitter.push(Buffer.from("\nid")).length, 1);
  t.is(splitter.incompleteBytes.toString(), "id");
});

test("returns the data of all data lines", (t) => {
  const event = Buffer.from("id: 4\ndata: a\ndata:b\n\n");
  t.deepEqual(fieldValues(event, "data"), ["a", "b"]);
});

test("rejects an event that exceeds the size limit", (t) => {
  const splitter = new EventSplitter();
  const bytes = Buffer.alloc(1024 * 1024 + 1, "x");
  t.throws(() => splitter.push(bytes), { instanceOf: RangeError });
});
