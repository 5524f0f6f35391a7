import { Buffer } from "node:buffer";
import test from "ava";
import { err, ok } from "neverthrow";
import { FakeClock } from "../../testing/fake_clock.ts";
import { DocumentDecoder } from "./document_decoder.ts";

/** A decoder that takes a number of milliseconds for each document. */
function createFixture(milliseconds: number) {
  const clock = new FakeClock();
  const decoded: string[] = [];
  const decoder = new DocumentDecoder((text) => {
    clock.advance(milliseconds);
    decoded.push(text);
    return text === "bad" ? err("it is bad") : ok(text);
  }, clock);
  const decode = async (
    text: string,
    signal = new AbortController().signal,
  ) => {
    const deadline = clock.deadlineIn(1_000);
    const result = await decoder.decode(Buffer.from(text), {
      deadline,
      signal,
    });
    return result.match((text) => text, ({ code }) => code);
  };
  return { decode, decoded };
}

test("invalid documents are told from valid ones", async (t) => {
  const { decode } = createFixture(1);
  t.is(await decode("good"), "good");
  t.is(await decode("bad"), "bad-request");
});

// Guards against orders that wait until their senders have left (review case 3).
test("documents that would wait too long are refused at once", async (t) => {
  const { decode } = createFixture(200);
  await decode("first");
  const texts = Array.from({ length: 20 }, (_, index) => `${index}`);
  const results = await Promise.all(texts.map((text) => decode(text)));
  const accepted = results.filter((it) => it !== "overloaded");
  t.deepEqual(accepted, texts.slice(0, accepted.length));
  t.true(accepted.length > 1 && accepted.length < 10);
});

test("documents of senders that have left are not decoded", async (t) => {
  const { decode, decoded } = createFixture(1);
  const left = new AbortController();
  const results = [decode("one"), decode("two", left.signal), decode("three")];
  left.abort();
  t.deepEqual(await Promise.all(results), ["one", "cancelled", "three"]);
  t.deepEqual(decoded, ["one", "three"]);
});

test("documents past their deadline are not decoded", async (t) => {
  const { decode, decoded } = createFixture(600);
  const results = [decode("one"), decode("two"), decode("three")];
  const expected = ["one", "two", "deadline-exceeded"];
  t.deepEqual(await Promise.all(results), expected);
  t.deepEqual(decoded, ["one", "two"]);
});
