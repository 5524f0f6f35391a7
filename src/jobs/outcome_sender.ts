import type { IClock, IDisposable } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { outcomesWaiting } from "./events.ts";
import { type ItemOutcome, jobsSection } from "./messages.ts";

/** Time over which outcomes are collected for a command, in milliseconds. */
const FLUSH_INTERVAL_MILLISECONDS = 50;

/** Maximum number of outcomes per command. */
const MAXIMUM_OUTCOMES_PER_COMMAND = 256;

/** Characters of result lines above which a command takes no more. */
const MAXIMUM_CHARACTERS_PER_COMMAND = 1024 * 1024;

/** Characters of unrecorded lines above which no new items are leased. */
const MAXIMUM_UNRECORDED_CHARACTERS = 32 * 1024 * 1024;

/** Timeout of a command before it is sent again, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Sends outcomes until they are recorded.
 *
 * Sending an outcome twice is safe, because only the first is recorded.
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

  /** Whether unrecorded lines exceed the limit for leasing new items. */
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
      const fields = { outcomes: this.#unrecorded.length };
      if (this.isFull) this.#events.emit(outcomesWaiting, fields);
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
