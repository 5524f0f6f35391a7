import test from "ava";
import { encodeChecksummed } from "./checksummed_document.ts";
import { CorruptionError } from "./corruption_error.ts";
import { StoredSnapshot } from "./stored_snapshot.ts";
import type { IStateSection, SectionFile } from "./types.ts";

const FILES = [{ name: "a", length: 3 }];

const SNAPSHOT = {
  ...{ index: 7, term: 2, proposedAt: 5 },
  replicas: { voters: [], learners: [] },
  sections: {
    list: { state: [{ id: 1 }, { id: 2 }], files: FILES },
    object: { state: { id: 3 }, files: [] },
  },
};

class TestSection implements Partial<IStateSection> {
  readonly definition;
  restored: unknown;

  constructor(name: string) {
    this.definition = { name } as IStateSection["definition"];
  }

  restore(snapshot: unknown): Promise<void> {
    this.restored = snapshot;
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.restored = "empty";
    return Promise.resolve();
  }
}

class ElementSection extends TestSection {
  restoreElements(
    elements: Iterable<unknown>,
    files: readonly SectionFile[],
  ): Promise<void> {
    const [first] = elements;
    this.restored = { first, files };
    return Promise.resolve();
  }
}

function restored(section: TestSection): unknown {
  const snapshot = new StoredSnapshot("s", encodeChecksummed(SNAPSHOT));
  void snapshot.restore(section as unknown as IStateSection);
  return section.restored;
}

test("sections are restored from a snapshot, or reset", (t) => {
  const { list, object } = SNAPSHOT.sections;
  t.deepEqual(restored(new TestSection("list")), list);
  t.deepEqual(restored(new TestSection("object")), object);
  t.is(restored(new TestSection("new")), "empty");
  const snapshot = new StoredSnapshot("s", encodeChecksummed(SNAPSHOT));
  t.like(snapshot, { index: 7, term: 2, proposedAt: 5 });
  t.deepEqual(snapshot.files.get("list"), FILES);
});

test("elements of an array are restored one at a time", (t) => {
  const section = new ElementSection("list");
  t.deepEqual(restored(section), { first: { id: 1 }, files: FILES });
  const { object } = SNAPSHOT.sections;
  t.deepEqual(restored(new ElementSection("object")), object);
});

test("damaged snapshot is rejected", (t) => {
  const expected = { instanceOf: CorruptionError };
  const bytes = encodeChecksummed(SNAPSHOT);
  bytes[30] = (bytes[30] ?? 0) ^ 1;
  t.throws(() => new StoredSnapshot("s", bytes), expected);
  const incomplete = encodeChecksummed({ ...SNAPSHOT, index: "7" });
  t.throws(() => new StoredSnapshot("s", incomplete), expected);
});
