import { match, P } from "ts-pattern";
import { z } from "zod";

/** The parts of a JSON schema that are used here. */
const nodeSchema = z.looseObject({
  type: z.string().optional(),
  description: z.string().optional(),
  enum: z.array(z.unknown()).optional(),
  minimum: z.number().optional(),
  maximum: z.number().optional(),
  exclusiveMinimum: z.number().optional(),
  exclusiveMaximum: z.number().optional(),
  minItems: z.number().optional(),
  maxItems: z.number().optional(),
  properties: z.record(z.string(), z.unknown()).optional(),
  items: z.unknown().optional(),
});
type SchemaNode = z.infer<typeof nodeSchema>;

/** Describes the values that a schema allows at a path. */
export function describeAllowed(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string | undefined {
  const node = findNode(schema, path);
  return node && describeNode(node);
}

/** Returns the names of the fields that a schema defines at a path. */
export function knownFields(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  return Object.keys(findNode(schema, path)?.properties ?? {});
}

function findNode(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): SchemaNode | undefined {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  let node: unknown = root;
  for (const step of path) {
    const { data } = nodeSchema.safeParse(node);
    node = typeof step === "number"
      ? data?.items
      : data?.properties?.[String(step)];
  }
  return nodeSchema.safeParse(node).data;
}

function describeNode(node: SchemaNode): string {
  if (node.description) return node.description;
  if (node.enum) {
    const values = node.enum.map((value) => JSON.stringify(value));
    return `one of ${values.join(", ")}`;
  }
  return match(node.type)
    .with("integer", () => describeNumber("an integer", node))
    .with("number", () => describeNumber("a number", node))
    .with("boolean", () => "true or false")
    .with("string", () => "a non-empty string")
    .with("array", () => describeArray(node))
    .with("object", () => describeObject(node))
    .with(P.any, () => "another value")
    .exhaustive();
}

function describeNumber(kind: string, node: SchemaNode): string {
  const { exclusiveMinimum, exclusiveMaximum } = node;
  const minimum = explicitBound(node.minimum);
  const maximum = explicitBound(node.maximum);
  if (minimum !== undefined && maximum !== undefined) {
    return `${kind} from ${minimum} to ${maximum}`;
  }
  const bounds = [
    formatBound("above", exclusiveMinimum),
    formatBound("at least", minimum),
    formatBound("below", exclusiveMaximum),
    formatBound("at most", maximum),
  ].filter((bound) => bound !== "");
  return bounds.length === 0 ? kind : `${kind} ${bounds.join(" and ")}`;
}

function formatBound(relation: string, bound: number | undefined): string {
  return bound === undefined ? "" : `${relation} ${bound}`;
}

/** Ignores bounds that only result from the range of safe integers. */
function explicitBound(value: number | undefined): number | undefined {
  return value !== undefined && Number.isSafeInteger(value) &&
      Math.abs(value) < Number.MAX_SAFE_INTEGER
    ? value
    : undefined;
}

function describeArray({ minItems, maxItems }: SchemaNode): string {
  if (maxItems !== undefined) {
    return `a list of ${minItems ?? 0} to ${maxItems} entries`;
  }
  return minItems ? `a list of at least ${minItems} entry` : "a list";
}

function describeObject({ properties }: SchemaNode): string {
  const names = Object.keys(properties ?? {});
  if (names.length === 0) return "an object";
  return `an object with ${names.join(", ")}`;
}
