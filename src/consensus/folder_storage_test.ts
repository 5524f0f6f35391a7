import test from "ava";
import { Buffer } from "node:buffer";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  decodeChecksummed,
  encodeChecksummed,
} from "./checksummed_document.ts";
import { CorruptionError } from "./corruption_error.ts";
import { FolderStorage } from "./folder_storage.ts";
import { z } from "zod";

test("files can be written, read, renamed and removed", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "storage-"));
  t.teardown(() => rm(folder, { recursive: true }));
  const storage = new FolderStorage(join(folder, "new", "data"));
  t.deepEqual(await storage.list("log"), []);
  t.is(await storage.read("log/a"), undefined);
  const file = await storage.open("log/a");
  await file.append(Buffer.from("one"));
  await file.append(Buffer.from("two"));
  await file.sync();
  await file.close();
  await storage.replace("log/deep/b", Buffer.from("b"));
  await storage.replace("log/deep/b", Buffer.from("bb"));
  t.deepEqual(await storage.list("log"), ["log/a", "log/deep/b"]);
  t.is((await storage.readPart("log/a", 2, 3)).toString(), "etw");
  await storage.truncate("log/a", 4);
  await storage.rename("log/a", "other/c");
  t.is((await storage.read("other/c"))?.toString(), "onet");
  t.is(await storage.size("log/deep/b"), 2);
  await storage.remove("other/c");
  await storage.remove("other/c");
  t.is(await storage.size("other/c"), undefined);
});

test("damaged document is rejected", (t) => {
  const schema = z.object({ text: z.string() });
  const bytes = encodeChecksummed({ text: "value" });
  t.deepEqual(decodeChecksummed("file", bytes, schema), { text: "value" });
  for (let position = 0; position < bytes.length; position++) {
    if (position === 8) continue;
    const damaged = Buffer.from(bytes);
    damaged[position] = (damaged[position] ?? 0) ^ 1;
    const error = { instanceOf: CorruptionError };
    t.throws(() => decodeChecksummed("file", damaged, schema), error);
  }
});
