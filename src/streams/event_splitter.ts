import { Buffer } from "node:buffer";

/** Maximum size of one event, in bytes. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Fields of server-sent events. */
const EVENT_FIELDS = new Set(["data", "event", "id", "retry"]);

/** First field of an event at which the weights of its engine change. */
const LEADING_FIELD = "weight-versions";

/** Mark of the byte order, which may precede the first event. */
const BYTE_ORDER_MARK = Buffer.from("\ufeff");

/** A complete server-sent event. */
export interface IStreamEvent {
  /** Bytes of the event, including the blank line at its end. */
  readonly bytes: Buffer;
  /** Value of its `id` line, if it has one. */
  readonly id: string | undefined;
  /** False for other text, such as the head of a further HTTP answer. */
  readonly isWellFormed: boolean;
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
      events.push({ bytes: event, ...parseLines(event) });
      rest = rest.subarray(end);
    }
    if (rest.length > MAXIMUM_EVENT_BYTES) {
      throw new RangeError("server-sent event exceeds 1 MiB");
    }
    this.#incomplete = rest;
    return events;
  }
}

/**
 * Returns the leading events that continue a stream: they are well formed, and
 * their numbers increase. Identifiers that are no numbers are not compared.
 *
 * @param lastEventId identifier of the last event before them
 */
export function takeValidEvents(
  events: readonly IStreamEvent[],
  lastEventId: string | undefined,
): IStreamEvent[] {
  let last = toNumber(lastEventId);
  const end = events.findIndex(({ id, isWellFormed }) => {
    const number = toNumber(id);
    if (!isWellFormed || (number ?? Infinity) <= (last ?? -1)) return true;
    last = number ?? last;
    return false;
  });
  return end === -1 ? [...events] : events.slice(0, end);
}

function toNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined;
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

/** Reads the names of the fields without decoding the data. */
function parseLines(event: Buffer): Omit<IStreamEvent, "bytes"> {
  const hasMark = event.subarray(0, BYTE_ORDER_MARK.length)
    .equals(BYTE_ORDER_MARK);
  let id: string | undefined;
  let isFirst = true;
  for (let from = hasMark ? BYTE_ORDER_MARK.length : 0; from < event.length;) {
    const feed = event.indexOf(LINE_FEED, from);
    const end = feed === -1 ? event.length : feed;
    const until = event[end - 1] === CARRIAGE_RETURN ? end - 1 : end;
    const isComment = event[from] === COLON;
    if (until > from && !isComment) {
      const colon = event.subarray(from, until).indexOf(COLON);
      const nameEnd = colon === -1 ? until : from + colon;
      const name = event.toString("latin1", from, nameEnd);
      const isField = EVENT_FIELDS.has(name) ||
        isFirst && name === LEADING_FIELD;
      if (!isField) return { id: undefined, isWellFormed: false };
      if (name === "id") {
        id ??= event.toString("utf8", nameEnd + 1, until).trim();
      }
      isFirst = false;
    }
    from = end + 1;
  }
  return { id, isWellFormed: true };
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
