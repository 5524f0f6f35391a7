import { err, type Result } from "neverthrow";
import type { z } from "zod";
import { formatDocumentError, loadDocument } from "../settings/mod.ts";
import { ExitCode, type ICliFailure } from "./exit_code.ts";

/** Reads and validates a document; the failure lists one fault per line. */
export async function readDocument<S extends z.ZodType>(
  path: string,
  schema: S,
): Promise<Result<z.infer<S>, ICliFailure>> {
  const document = await loadDocument(path, schema);
  if (document.isOk()) return document as Result<z.infer<S>, never>;
  const faults = document.error.map((fault) =>
    `\n  ${formatDocumentError(fault)}`
  );
  const count = faults.length === 1 ? "1 fault" : `${faults.length} faults`;
  const message = `${path} has ${count}:${faults.join("")}`;
  return err({ exitCode: ExitCode.usage, message });
}
