import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** Maximum number of items in one job. */
export const MAXIMUM_ITEMS = 200_000;

/** Longest input line, in characters. */
export const MAXIMUM_LINE_CHARACTERS = 1024 * 1024;

/** One line of an input file. */
const inputLineSchema = z.object({
  custom_id: z.string().min(1).max(512),
  method: z.literal("POST").optional(),
  url: z.enum(["/v1/chat/completions", "/v1/completions"]).optional(),
  body: z.record(z.string(), z.unknown()),
});
export type InputLine = z.infer<typeof inputLineSchema>;

/** Parses a line; the error says what is wrong with it. */
export function parseInputLine(line: string): Result<InputLine, string> {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch (error) {
    return err(
      `invalid JSON: ${error instanceof Error ? error.message : error}`,
    );
  }
  const parsed = inputLineSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(`${issue?.path.join(".") || "(line)"}: ${issue?.message}`);
}

/** Validates the lines of one input file in order. */
export class InputChecker {
  #customIds = new Set<string>();
  #url: string | undefined;

  get lines(): number {
    return this.#customIds.size;
  }

  /** Validates the next line; an error gives its number, counted from 1. */
  check(line: string): Result<void, string> {
    const number = this.lines + 1;
    const error = this.#findError(line, number);
    return error === undefined ? ok() : err(`line ${number}: ${error}`);
  }

  #findError(line: string, number: number): string | undefined {
    if (number > MAXIMUM_ITEMS) return `more than ${MAXIMUM_ITEMS} lines`;
    if (line.length > MAXIMUM_LINE_CHARACTERS) {
      return `longer than ${MAXIMUM_LINE_CHARACTERS} characters`;
    }
    const parsed = parseInputLine(line);
    if (parsed.isErr()) return parsed.error;
    const { custom_id, url } = parsed.value;
    if (this.#customIds.has(custom_id)) {
      return `custom_id ${JSON.stringify(custom_id)} is given twice`;
    }
    this.#customIds.add(custom_id);
    this.#url ??= url;
    if (url !== this.#url) return "url differs from the previous lines";
    return undefined;
  }
}
