import type { IClock, IDisposable } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { outcomesWaiting } from "./events.ts";
import { type ItemOutcome, jobsSection } from "./messages.ts";

/** Time over which outcomes are recorded together, in milliseconds. */
const FLUSH_INTERVAL_MILLISECONDS = 50;

/** Outcomes that are recorded together at most. */
const MAXIMUM_OUTCOMES_PER_COMMAND = 256;

/** Characters of result lines that are recorded together at most. */
const MAXIMUM_CHARACTERS_PER_COMMAND = 1024 * 1024;

/** Characters of unrecorded lines above which no new items are taken. */
const MAXIMUM_UNRECORDED_CHARACTERS = 32 * 1024 * 1024;

/** Time that recording may take before it is sent again, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Sends outcomes until they are recorded.
 *
 * Recording an outcome twice is harmless: only the first counts.
 */
export class OutcomeSender implements IDisposable {
  #control: IControlClient;
  #clock: IClock;
  #events: IEventLog;
  #unrecorded: ItemOutcome[] = [];
  #characters = 0;
  #stop = new AbortController();

  constructor(
    control: IControlClient,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#control = control;
    this.#clock = options.clock;
    this.#events = options.events;
  }

  /** Whether so much waits that no new items should be taken. */
  get isFull(): boolean {
    return this.#characters > MAXIMUM_UNRECORDED_CHARACTERS;
  }

  get unrecordedCount(): number {
    return this.#unrecorded.length;
  }

  add(outcome: ItemOutcome): void {
    this.#unrecorded.push(outcome);
    this.#characters += outcome.line.length;
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(FLUSH_INTERVAL_MILLISECONDS);
      if (this.#unrecorded.length > 0) await this.#flush();
      await this.#clock.sleepUntil(next, signal);
    }
  }

  async #flush(): Promise<void> {
    const outcomes = this.#nextBatch();
    const answer = await this.#control.propose(
      jobsSection,
      { kind: "complete", outcomes },
      { deadline: this.#clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS) },
    );
    if (answer.isErr()) {
      const waiting = { outcomes: this.#unrecorded.length };
      if (this.isFull) this.#events.emit(outcomesWaiting, waiting);
      return;
    }
    this.#unrecorded.splice(0, outcomes.length);
    for (const { line } of outcomes) this.#characters -= line.length;
  }

  #nextBatch(): ItemOutcome[] {
    const outcomes: ItemOutcome[] = [];
    let characters = 0;
    for (const outcome of this.#unrecorded) {
      if (outcomes.length >= MAXIMUM_OUTCOMES_PER_COMMAND) break;
      if (characters > MAXIMUM_CHARACTERS_PER_COMMAND) break;
      outcomes.push(outcome);
      characters += outcome.line.length;
    }
    return outcomes;
  }
}
