import { Buffer } from "node:buffer";

/** Maximum size of one event, in bytes. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/**
 * Bytes between two numbered events from which on an engine that has to number
 * its events is faulty.
 */
export const MAXIMUM_UNNUMBERED_BYTES = 1024 * 1024;

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
  /** False for comments alone. */
  readonly hasField: boolean;
  /** False for other text, such as the head of a further HTTP answer. */
  readonly isWellFormed: boolean;
}

/**
 * Splits a byte stream into complete server-sent events. The cost is linear in
 * the bytes, however they arrive.
 */
export class EventSplitter {
  /** Begins with the incomplete event; the rest is unused. */
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;

  /** Bytes of an event that is not complete yet. */
  get incompleteBytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /**
   * Adds received bytes and returns the events that are now complete.
   *
   * @throws RangeError when an event is too long.
   */
  push(bytes: Buffer): IStreamEvent[] {
    // The last two bytes may be the beginning of an event's end.
    const scanned = Math.max(0, this.#length - 2);
    const received = this.#length === 0 ? bytes : this.#append(bytes);
    const events: IStreamEvent[] = [];
    let start = 0;
    for (
      let end = findEventEnd(received, scanned);
      end > 0;
      end = findEventEnd(received, start)
    ) {
      const event = received.subarray(start, end);
      events.push({ bytes: event, ...parseLines(event) });
      start = end;
    }
    if (received.length - start > MAXIMUM_EVENT_BYTES) {
      throw new RangeError("server-sent event exceeds 1 MiB");
    }
    if (events.length > 0) {
      // The events refer to the previous buffer.
      this.#buffer = Buffer.alloc(0);
      this.#length = 0;
      this.#append(received.subarray(start));
    } else if (this.#length === 0) this.#append(received);
    return events;
  }

  /** Appends to the incomplete event and returns all of its bytes. */
  #append(bytes: Buffer): Buffer {
    const length = this.#length + bytes.length;
    if (length > this.#buffer.length) {
      const larger = Buffer.allocUnsafe(2 * length);
      this.#buffer.copy(larger, 0, 0, this.#length);
      this.#buffer = larger;
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
    return this.incompleteBytes;
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
  const hasMark = event[0] === BYTE_ORDER_MARK[0] &&
    event.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
  let id: string | undefined;
  let hasField = false;
  for (let from = hasMark ? BYTE_ORDER_MARK.length : 0; from < event.length;) {
    const feed = event.indexOf(LINE_FEED, from);
    const end = feed === -1 ? event.length : feed;
    const until = event[end - 1] === CARRIAGE_RETURN ? end - 1 : end;
    const isComment = event[from] === COLON;
    if (until > from && !isComment) {
      const nameEnd = findNameEnd(event, from, until);
      const name = event.toString("latin1", from, nameEnd);
      const isField = EVENT_FIELDS.has(name) ||
        !hasField && name === LEADING_FIELD;
      if (!isField) return { id: undefined, hasField, isWellFormed: false };
      if (name === "id") {
        id ??= event.toString("utf8", nameEnd + 1, until).trim();
      }
      hasField = true;
    }
    from = end + 1;
  }
  return { id, hasField, isWellFormed: true };
}

/** Returns where the name of a field ends: at its colon, or with the line. */
function findNameEnd(event: Buffer, from: number, until: number): number {
  let end = from;
  while (end < until && event[end] !== COLON) end += 1;
  return end;
}

/**
 * Returns where the first event ends that is not complete before an offset, or
 * 0 if none does.
 */
function findEventEnd(bytes: Buffer, offset: number): number {
  let from = offset;
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
