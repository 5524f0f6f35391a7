import { Buffer } from "node:buffer";

/** Maximum size of one event, in bytes. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

const ID_PREFIX = Buffer.from("id:");
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** A complete server-sent event. */
export interface IStreamEvent {
  /** Bytes of the event, including the blank line at its end. */
  readonly bytes: Buffer;
  /** Value of its `id` line, if it has one. */
  readonly id: string | undefined;
}

/** Splits a byte stream into complete server-sent events. */
export class EventSplitter {
  #incomplete: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get incompleteBytes(): Buffer {
    return this.#incomplete;
  }

  /**
   * Adds received bytes and returns the events that are now complete.
   *
   * @throws RangeError when an event is too long.
   */
  push(bytes: Buffer): IStreamEvent[] {
    let rest = this.#incomplete.length > 0
      ? Buffer.concat([this.#incomplete, bytes])
      : bytes;
    const events: IStreamEvent[] = [];
    for (
      let end = firstEventLength(rest);
      end > 0;
      end = firstEventLength(rest)
    ) {
      const event = rest.subarray(0, end);
      events.push({ bytes: event, id: findEventId(event) });
      rest = rest.subarray(end);
    }
    if (rest.length > MAXIMUM_EVENT_BYTES) {
      throw new RangeError("server-sent event exceeds 1 MiB");
    }
    this.#incomplete = rest;
    return events;
  }
}

/** Values of a field of an event, in order. */
export function fieldValues(event: Buffer, field: string): string[] {
  const prefix = `${field}:`;
  return event.toString("utf8").split(/\r?\n/)
    .filter((line) => line.startsWith(prefix))
    .map((line) => {
      const value = line.slice(prefix.length);
      return value.startsWith(" ") ? value.slice(1) : value;
    });
}

/** Returns the value of the `id` line without decoding the data. */
function findEventId(event: Buffer): string | undefined {
  for (let from = 0; from < event.length;) {
    const end = event.indexOf(LINE_FEED, from);
    const until = end === -1 ? event.length : end;
    if (event.indexOf(ID_PREFIX, from) === from) {
      return event.toString("utf8", from + ID_PREFIX.length, until).trim();
    }
    from = until + 1;
  }
  return undefined;
}

/** Returns the length of the first complete event, or 0 if there is none. */
function firstEventLength(bytes: Buffer): number {
  let from = 0;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, from);
    if (feed === -1) return 0;
    const next = bytes[feed + 1];
    if (next === LINE_FEED) return feed + 2;
    if (next === CARRIAGE_RETURN && bytes[feed + 2] === LINE_FEED) {
      return feed + 3;
    }
    from = feed + 1;
  }
}
