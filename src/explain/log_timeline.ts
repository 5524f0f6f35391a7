import { z } from "zod";
import { CLOCK_COMPARISON_EVENT, ClockAlignment } from "./clock_alignment.ts";

/** Time around a request from which related events are included, in ms. */
const CONTEXT_WINDOW_MILLISECONDS = 2_000;

/** Events without a request ID that may explain the outcome of a request. */
const CONTEXT_EVENTS = new Set([
  "engine-suspected",
  "engine-trusted",
  "engine-probe-failed",
  "engine-list-changed",
  "leader-elected",
  "leadership-lost",
  "leader-unreachable",
  "leader-reached",
  "routes-in-force",
  "role-started",
  "role-stopping",
]);

/** Events that concern all instances, whichever instance logged them. */
const LEADERSHIP_EVENTS = new Set(["leader-elected", "leadership-lost"]);

const lineSchema = z.looseObject({
  at: z.string(),
  instance: z.string(),
  name: z.string(),
  request: z.string().optional(),
  job: z.string().optional(),
  engine: z.string().optional(),
});

/** An event from a log. */
export interface ILogLine {
  /** Milliseconds since the Unix epoch, by the timeline's clock. */
  readonly at: number;
  /** Correction that was added to the instance's own time, in ms. */
  readonly shiftMilliseconds: number;
  readonly instance: string;
  readonly name: string;
  readonly engine: string | undefined;
  /** Whether the event has the requested ID; otherwise it is context. */
  readonly isOwn: boolean;
  /** The other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The logged events of a request, an item or a job. */
export interface ILogTimeline {
  readonly lines: readonly ILogLine[];
  /** Instance whose clock is used; undefined without clock comparisons. */
  readonly clockOf: string | undefined;
  /** Instances without a clock comparison, whose times are not corrected. */
  readonly uncompared: readonly string[];
}

/**
 * Extracts the events of a request, an item or a job from the logs of all
 * processes, ordered by time. Events of its engines and changes of leadership
 * around the same time are included as context. Times are converted to the
 * clock of one instance as far as the instances have compared clocks. Lines may
 * have a prefix, such as a log collector adds; lines without an event are
 * skipped.
 */
export function buildTimeline(id: string, text: string): ILogTimeline {
  const parsed = text.split("\n").flatMap((line) => parseLine(line, id));
  const clocks = new ClockAlignment(
    parsed.filter(({ name }) => name === CLOCK_COMPARISON_EVENT),
  );
  const lines = parsed.map((line) => {
    const shiftMilliseconds = clocks.shift(line.instance, line.at) ?? 0;
    return { ...line, at: line.at + shiftMilliseconds, shiftMilliseconds };
  });
  const own = lines.filter(({ isOwn }) => isOwn);
  const engines = new Set(own.flatMap(({ engine }) => engine ?? []));
  const instances = new Set(own.map(({ instance }) => instance));
  const times = own.map(({ at }) => at);
  const from = Math.min(...times) - CONTEXT_WINDOW_MILLISECONDS;
  const until = Math.max(...times) + CONTEXT_WINDOW_MILLISECONDS;
  const context = lines.filter((line) => {
    if (line.isOwn || !CONTEXT_EVENTS.has(line.name)) return false;
    if (line.at < from || line.at > until) return false;
    if (line.engine !== undefined) return engines.has(line.engine);
    return instances.has(line.instance) || LEADERSHIP_EVENTS.has(line.name);
  });
  const selected = [...own, ...context].sort((a, b) => a.at - b.at);
  const uncompared = [...new Set(selected.map(({ instance }) => instance))]
    .filter((instance) => clocks.shift(instance, from) === undefined);
  return { lines: selected, clockOf: clocks.referenceInstance, uncompared };
}

function parseLine(line: string, id: string): ILogLine[] {
  const start = line.indexOf("{");
  if (start === -1) return [];
  const parsed = lineSchema.safeParse(parseJson(line.slice(start)));
  if (!parsed.success) return [];
  const { at, instance, name, engine, ...fields } = parsed.data;
  const isOwn = fields.request === id || fields.job === id;
  return [{
    ...{ at: Date.parse(at), instance, name, engine, isOwn, fields },
    shiftMilliseconds: 0,
  }];
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Log files may contain lines of other programs.
    return undefined;
  }
}
