import { z } from "zod";
import { CLOCK_COMPARISON_EVENT, ClockAlignment } from "./clock_alignment.ts";

/** Time around a request in which related events are told, in ms. */
const CONTEXT_WINDOW_MILLISECONDS = 2_000;

/** Events without a request that may explain what became of one. */
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

/** Events that concern all instances, wherever they happen. */
const LEADERSHIP_EVENTS = new Set(["leader-elected", "leadership-lost"]);

const lineSchema = z.looseObject({
  at: z.string(),
  instance: z.string(),
  name: z.string(),
  request: z.string().optional(),
  job: z.string().optional(),
  engine: z.string().optional(),
});

/** A line of a log. */
export interface ILogLine {
  /** Milliseconds since the Unix epoch, by the clock of the story. */
  readonly at: number;
  /** What was added to the time by the clock of the instance, in ms. */
  readonly shiftMilliseconds: number;
  readonly instance: string;
  readonly name: string;
  readonly engine: string | undefined;
  /** Whether the line names the request or job itself. */
  readonly isOwn: boolean;
  /** The other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs of all processes tell. */
export interface ILogTimeline {
  readonly lines: readonly ILogLine[];
  /** Instance by whose clock the times are; undefined if none compared. */
  readonly clockOf: string | undefined;
  /** Instances whose clock is not known to differ or not. */
  readonly uncompared: readonly string[];
}

/**
 * Collects what the logs of all processes tell of a request, an item or a
 * job, in the order of time, with events of its engines and of the lead
 * around it. Times of all instances are by one clock, as far as the instances
 * have compared theirs. Lines may have a prefix, as collectors add one; others
 * that hold no event are passed over.
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
    // Files of logs may hold lines of other programs.
    return undefined;
  }
}
