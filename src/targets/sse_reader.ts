const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;

const EVENT_BOUNDARY = /\r?\n\r?\n/;

/** Splits a server-sent event stream into the data of its events. */
export class SseReader {
  #incomplete = "";

  /**
   * Adds received text and returns the data of the events that are now
   * complete.
   *
   * @throws RangeError if an event is too long.
   */
  push(text: string): string[] {
    const blocks = (this.#incomplete + text).split(EVENT_BOUNDARY);
    this.#incomplete = blocks.pop() ?? "";
    if (this.#incomplete.length > MAXIMUM_EVENT_CHARACTERS) {
      throw new RangeError("server-sent event too long");
    }
    return blocks.map(parseData).filter((data) => data !== "");
  }
}

function parseData(block: string): string {
  // Fast path: nearly all events consist of one line of data.
  if (block.startsWith("data: ") && !block.includes("\n")) {
    return block.slice("data: ".length);
  }
  return block
    .split(/\r?\n/)
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).trimStart())
    .join("\n");
}
