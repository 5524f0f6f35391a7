import { readdir } from "node:fs/promises";
import test from "ava";
import {
  type Configuration,
  configurationSchema,
} from "../configuration/mod.ts";
import { formatDocumentError, loadDocument } from "./load_document.ts";
import { settingsSchema } from "./schema.ts";

async function configuration(example: string): Promise<Configuration> {
  const path = `examples/${example}/configuration.jsonc`;
  const loaded = await loadDocument(path, configurationSchema);
  return loaded.match(
    (document) => document,
    (errors) => {
      throw new Error(errors.map(formatDocumentError).join("\n"));
    },
  );
}

test("every example is valid", async (t) => {
  const files = await readdir("examples", { recursive: true });
  const documents = files.filter((file) => file.endsWith(".jsonc"));
  t.is(documents.length, 9);
  for (const file of documents) {
    const schema = file.endsWith("settings.jsonc")
      ? settingsSchema
      : configurationSchema;
    const loaded = await loadDocument(`examples/${file}`, schema);
    t.deepEqual(
      loaded.isErr() ? loaded.error.map(formatDocumentError) : [],
      [],
      file,
    );
  }
});

test("existing fleets have 3 failure domains and 8 engines", async (t) => {
  for (const example of ["cooperative", "aurora_watch"]) {
    const { places, services, engines } = await configuration(example);
    t.is(places.length, 1);
    t.is(places[0]?.failureDomains.length, 3);
    t.is(services.length, 1);
    t.is(engines.length, 8);
    t.is(new Set(engines.map(({ failureDomain }) => failureDomain)).size, 3);
  }
});

test("new_market extends cooperative without changing entries", async (t) => {
  const before = await configuration("cooperative");
  const after = await configuration("new_market");
  for (const part of ["places", "services", "engines", "rules"] as const) {
    t.deepEqual(after[part].slice(0, before[part].length), before[part]);
    t.true(after[part].length > before[part].length);
  }
});
