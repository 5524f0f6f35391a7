import process from "node:process";

/** Space between two columns, in characters. */
const COLUMN_GAP = 2;

/** Prints the output of a command, as JSON for programs or text for people. */
export class Output {
  /** Whether the result is printed as JSON. */
  readonly json: boolean;

  constructor(options: { json: boolean }) {
    this.json = options.json;
  }

  /** Prints the result: the value with `--json`, otherwise the lines. */
  result(value: unknown, lines: () => readonly string[]): void {
    const text = this.json
      ? JSON.stringify(value, undefined, 2)
      : lines().join("\n");
    process.stdout.write(`${text}\n`);
  }

  /** Prints a note on standard error, apart from the result. */
  note(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Aligns the cells of rows under their headings. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
      .join("").trimEnd()
  );
}

/** Formats a point in time, given in milliseconds since the Unix epoch. */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}

/** Formats a count with its noun, such as `1 instance` or `3 instances`. */
export function formatCount(count: number, noun: string): string {
  return count === 1 ? `1 ${noun}` : `${count} ${noun}s`;
}
