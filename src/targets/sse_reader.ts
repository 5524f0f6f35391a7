/** Splits a server-sent event stream into the data of its events. */
export class SseReader {
  #rest = "";

  /** Adds received text and returns the data of the events now complete. */
  push(text: string): string[] {
    const blocks = (this.#rest + text).split(/\r?\n\r?\n/);
    this.#rest = blocks.pop() ?? "";
    return blocks.map(dataOf).filter((data) => data !== "");
  }
}

function dataOf(block: string): string {
  return block
    .split(/\r?\n/)
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).trimStart())
    .join("\n");
}
