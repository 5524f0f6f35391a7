import { readFile } from "node:fs/promises";
import test from "ava";
import { z } from "zod";
import { configurationSchema } from "../configuration/mod.ts";
import { describeAllowed } from "./describe_allowed.ts";
import { settingsSchema } from "./schema.ts";

/** A field as docs/SETTINGS.md describes it. */
interface IField {
  readonly name: string;
  readonly allowed: string;
  readonly defaultValue: string;
}

/** The parts of a JSON schema that are used here. */
interface ISchemaNode {
  readonly type?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, ISchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: ISchemaNode;
}

function listFields(schema: z.ZodType): IField[] {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  const fields: IField[] = [];
  const visit = (node: ISchemaNode, path: (string | number)[]) => {
    for (const [key, child] of Object.entries(node.properties ?? {})) {
      const fieldPath = [...path, key];
      const isRequired = node.required?.includes(key) ?? false;
      const inner = child.items ?? child;
      if (inner.properties) {
        visit(inner, child.items ? [...fieldPath, 0] : fieldPath);
        continue;
      }
      fields.push({
        name: fieldPath.map((step) => step === 0 ? "[]" : `.${step}`).join("")
          .slice(1),
        allowed: describeAllowed(schema, fieldPath) ?? "",
        defaultValue: isRequired
          ? "required"
          : child.default === undefined
          ? "none"
          : `\`${JSON.stringify(child.default)}\``,
      });
    }
  };
  visit(root as ISchemaNode, []);
  return fields;
}

/** Returns the table rows in the section with the given heading. */
function rowsUnder(page: string, heading: string): string[][] {
  const section = page.split(`\n## ${heading}\n`)[1]?.split("\n## ")[0] ?? "";
  return section.split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
}

for (
  const [heading, schema] of [
    ["Settings of a daemon", settingsSchema],
    ["Inventory and rules", configurationSchema],
  ] as const
) {
  test(`docs/SETTINGS.md is up to date: ${heading}`, async (t) => {
    const page = await readFile("docs/SETTINGS.md", "utf8");
    const rows = rowsUnder(page, heading);
    t.deepEqual(
      rows.map(([name, allowed, defaultValue]) => ({
        name,
        allowed,
        defaultValue,
      })),
      listFields(schema).map(({ name, allowed, defaultValue }) => ({
        name: `\`${name}\``,
        allowed,
        defaultValue,
      })),
    );
    for (const row of rows) t.true((row[3] ?? "").length > 10, row[0]);
  });
}
