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

/** A fault in a document, with the place where it stands. */
export interface IDocumentFault {
  readonly file: string;
  /** Line, counted from 1. */
  readonly line: number;
  /** Path of the field, such as `voters[2].port`. */
  readonly field: string;
  /** What stands there, as JSON. */
  readonly found: string;
  readonly allowed: string;
}

/** Steps to a field from the document's root. */
type Path = (string | number)[];

/** A document that is being checked. */
interface ISource {
  readonly text: string;
  readonly tree: Node;
  readonly schema: z.ZodType;
  readonly file: string;
}

/** Longest excerpt of a document in a message, in characters. */
const MAXIMUM_EXCERPT_CHARACTERS = 60;

/** Formats a fault as one line. */
export function formatFault(fault: IDocumentFault): string {
  const { file, line, field, found, allowed } = fault;
  return `${file}:${line}: ${field}: found ${found}; allowed: ${allowed}`;
}

/** Reads a JSON document with comments and checks it against a schema. */
export async function loadDocument<S extends z.ZodType>(
  path: string,
  schema: S,
): Promise<Result<z.infer<S>, IDocumentFault[]>> {
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
): Result<z.infer<S>, IDocumentFault[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !tree) {
    return err(errors.map((error) => syntaxFault(text, error, options.file)));
  }
  const source = { text, tree, schema, file: options.file };
  const repeated = repeatedFields(tree, []);
  if (repeated.length > 0) {
    return err(
      repeated.map((path) =>
        faultAt(path, source, "a field that is given once")
      ),
    );
  }
  const checked = schema.safeParse(getNodeValue(tree));
  if (checked.success) return ok(checked.data);
  return err(
    checked.error.issues.flatMap((issue) => issueFaults(issue, source)),
  );
}

/** Paths of fields that an object has twice, of which JSON drops one. */
function repeatedFields(node: Node, path: Path): Path[] {
  const children = node.children ?? [];
  if (node.type === "array") {
    return children.flatMap((child, index) =>
      repeatedFields(child, [...path, index])
    );
  }
  const names = new Set<string>();
  return children.flatMap(({ children: [key, value] = [] }) => {
    if (!key || !value) return [];
    const own = [...path, String(key.value)];
    const isRepeated = names.has(String(key.value));
    names.add(String(key.value));
    return isRepeated ? [own] : repeatedFields(value, own);
  });
}

function syntaxFault(
  text: string,
  error: ParseError,
  file: string,
): IDocumentFault {
  return {
    file,
    line: lineAt(text, error.offset),
    field: "(syntax)",
    found: excerpt(text.slice(error.offset, error.offset + error.length)),
    allowed: `JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** Rules of the schema's own come with their words; others are described. */
function issueFaults(
  issue: z.core.$ZodIssue,
  source: ISource,
): IDocumentFault[] {
  const path = issue.path as Path;
  if (issue.code === "unrecognized_keys") {
    const known = knownFields(source.schema, path).join(", ");
    return issue.keys.map((key) =>
      faultAt([...path, key], source, `no such field; known here: ${known}`)
    );
  }
  const allowed = issue.code === "custom"
    ? issue.message
    : describeAllowed(source.schema, path) ?? issue.message;
  return [faultAt(path, source, allowed)];
}

function faultAt(path: Path, source: ISource, allowed: string): IDocumentFault {
  const place = nearestNode(source.tree, path);
  return {
    file: source.file,
    line: lineAt(source.text, place.node.offset),
    field: formatPath(path),
    found: place.exact
      ? excerpt(JSON.stringify(getNodeValue(place.node)))
      : "nothing",
    allowed,
  };
}

/** Finds the node at a path, or its closest ancestor that exists. */
function nearestNode(
  tree: Node,
  path: Path,
): { node: Node; exact: boolean } {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return { node, exact: length === path.length };
  }
  return { node: tree, exact: path.length === 0 };
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
