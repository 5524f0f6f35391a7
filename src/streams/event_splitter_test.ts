import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import {
  EventSplitter,
  fieldValues,
  takeValidEvents,
} from "./event_splitter.ts";

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

// Guards against the head or the text of another answer inside a stream.
test("text that is no event does not continue a stream", (t) => {
  const others = [
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: other\r\n\r\n",
    '{"error": "overloaded"}\n\n',
    "Internal Server Error\n\n",
    "error: overloaded\n\n",
    ": comment\nerror: overloaded\n\n",
    "data: cut off HTTP/1.1 503 Service Unavailable\r\nRequest-Id: x\r\n\r\n",
  ];
  for (const other of others) {
    const events = new EventSplitter().push(
      Buffer.from(`id: 3\ndata: a\n\n${other}id: 4\ndata: b\n\n`),
    );
    t.is(events.length, 3, other);
    const valid = takeValidEvents(events, "2");
    t.deepEqual(valid.map(({ id }) => id), ["3"], other);
  }
});

test("all forms of an event are valid", (t) => {
  const texts = [
    "\ufeff: ping\n\n",
    "weight-versions: 2\nid: 1\ndata: a\ndata: b\n\n",
    "event: end\r\ndata:\r\n\r\n",
    "\n\n",
    "data\n\n",
    "retry: 10\n\n",
  ];
  const events = new EventSplitter().push(Buffer.from(texts.join("")));
  t.is(takeValidEvents(events, undefined).length, texts.length);
});

// Guards against events that come twice or go back to an earlier one.
test("event numbers must increase", (t) => {
  const events = new EventSplitter().push(
    Buffer.from("id: 5\ndata: a\n\nid: 5\ndata: a\n\n"),
  );
  t.is(takeValidEvents(events, "4").length, 1);
  t.is(takeValidEvents(events, "5").length, 0);
  const named = new EventSplitter().push(
    Buffer.from("id: b\ndata: a\n\nid: a\ndata: a\n\n"),
  );
  t.is(takeValidEvents(named, "c").length, 2);
});

// Guards against a cost that grows with the square of an event's length, with
// which one engine took all processor time of an instance.
test("event that arrives byte by byte costs little", (t) => {
  const splitter = new EventSplitter();
  const byte = Buffer.from("x");
  splitter.push(Buffer.from("data: "));
  for (let count = 0; count < 1_000_000; count++) splitter.push(byte);
  const events = splitter.push(Buffer.from("\n\nid: 2\n"));
  t.is(events[0]?.bytes.length, 1_000_008);
  t.is(splitter.incompleteBytes.toString(), "id: 2\n");
  const [next] = splitter.push(Buffer.from("\n"));
  t.is(next?.id, "2");
  t.true(events[0]?.bytes.toString().startsWith("data: xxx"));
});

test("comments have no field", (t) => {
  const bytes = Buffer.from(": one\n\ndata: two\n\n\n\n: three\nid: 4\n\n");
  const events = new EventSplitter().push(bytes);
  t.deepEqual(events.map(({ hasField }) => hasField), [
    false,
    true,
    false,
    true,
  ]);
});
