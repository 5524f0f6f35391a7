import { readFile } from "node:fs/promises";
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { describeAllowed, knownFields } from "./describe_allowed.ts";

/** An error in a document and its position. */
export interface IDocumentError {
  readonly file: string;
  /** Line, counted from 1; 0 if the file could not be read. */
  readonly line: number;
  /** Path of the field, such as `voters[2].port`. */
  readonly field: string;
  /** The value in the document, as JSON. */
  readonly found: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}

/** Keys and indexes that lead from the document's root to a field. */
type Path = (string | number)[];

/** A document that is being checked. */
interface IParsedDocument {
  readonly text: string;
  readonly tree: Node;
  readonly schema: z.ZodType;
  readonly file: string;
}

/** Longest excerpt of a document in a message. */
const MAXIMUM_EXCERPT_CHARACTERS = 60;

/** Formats an error as one line. */
export function formatDocumentError(error: IDocumentError): string {
  const { file, line, field, found, allowed } = error;
  return `${file}:${line}: ${field}: found ${found}; allowed: ${allowed}`;
}

/** Reads a JSON document with comments and checks it against a schema. */
export async function loadDocument<S extends z.ZodType>(
  path: string,
  schema: S,
): Promise<Result<z.infer<S>, IDocumentError[]>> {
  try {
    return parseDocument(await readFile(path, "utf8"), schema, { file: path });
  } catch (error) {
    return err([{
      file: path,
      line: 0,
      field: "(file)",
      found: (error as NodeJS.ErrnoException).code ?? String(error),
      allowed: "a readable file",
    }]);
  }
}

/** Parses JSON with comments and checks it against a schema. */
export function parseDocument<S extends z.ZodType>(
  text: string,
  schema: S,
  options: { file: string },
): Result<z.infer<S>, IDocumentError[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !tree) {
    return err(errors.map((error) => toSyntaxError(text, error, options.file)));
  }
  const source = { text, tree, schema, file: options.file };
  const duplicates = findDuplicateFields(tree, []);
  if (duplicates.length > 0) {
    return err(
      duplicates.map((path) =>
        errorAt(path, source, "a field that is given once")
      ),
    );
  }
  const checked = schema.safeParse(getNodeValue(tree));
  if (checked.success) return ok(checked.data);
  return err(
    checked.error.issues.flatMap((issue) => toDocumentErrors(issue, source)),
  );
}

/** Finds duplicate fields of objects; a JSON parser would drop one silently. */
function findDuplicateFields(node: Node, path: Path): Path[] {
  const children = node.children ?? [];
  if (node.type === "array") {
    return children.flatMap((child, index) =>
      findDuplicateFields(child, [...path, index])
    );
  }
  const names = new Set<string>();
  return children.flatMap(({ children: [key, value] = [] }) => {
    if (!key || !value) return [];
    const fieldPath = [...path, String(key.value)];
    const isDuplicate = names.has(String(key.value));
    names.add(String(key.value));
    return isDuplicate ? [fieldPath] : findDuplicateFields(value, fieldPath);
  });
}

function toSyntaxError(
  text: string,
  error: ParseError,
  file: string,
): IDocumentError {
  return {
    file,
    line: lineAt(text, error.offset),
    field: "(syntax)",
    found: excerpt(text.slice(error.offset, error.offset + error.length)),
    allowed: `JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** Custom checks have a message; others are described from the schema. */
function toDocumentErrors(
  issue: z.core.$ZodIssue,
  source: IParsedDocument,
): IDocumentError[] {
  const path = issue.path as Path;
  if (issue.code === "unrecognized_keys") {
    const known = knownFields(source.schema, path).join(", ");
    return issue.keys.map((key) =>
      errorAt([...path, key], source, `no such field; known fields: ${known}`)
    );
  }
  const allowed = issue.code === "custom"
    ? issue.message
    : describeAllowed(source.schema, path) ?? issue.message;
  return [errorAt(path, source, allowed)];
}

function errorAt(
  path: Path,
  source: IParsedDocument,
  allowed: string,
): IDocumentError {
  const nearest = nearestNode(source.tree, path);
  return {
    file: source.file,
    line: lineAt(source.text, nearest.node.offset),
    field: formatPath(path),
    found: nearest.isExact
      ? excerpt(JSON.stringify(getNodeValue(nearest.node)))
      : "nothing",
    allowed,
  };
}

/** Finds the node at a path or its closest existing ancestor. */
function nearestNode(
  tree: Node,
  path: Path,
): { node: Node; isExact: boolean } {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return { node, isExact: length === path.length };
  }
  return { node: tree, isExact: path.length === 0 };
}

function formatPath(path: Path): string {
  const steps = path.map((step) =>
    typeof step === "number" ? `[${step}]` : `.${step}`
  );
  return steps.join("").replace(/^\./, "") || "(document)";
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function excerpt(text: string): string {
  if (text.length <= MAXIMUM_EXCERPT_CHARACTERS) return text;
  return `${text.slice(0, MAXIMUM_EXCERPT_CHARACTERS)}…`;
}
