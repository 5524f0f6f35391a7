import { type Deadline, type IClock, inTurns } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { EngineHealth, EngineTable } from "../placement/mod.ts";
import type { IEngineAnswer, IEngineClient } from "../streams/mod.ts";
import { HttpExchangeError } from "../targets/http_exchange.ts";
import { relayedRequestEnded } from "./events.ts";
import type { RelayOutcome } from "./messages.ts";
import type {
  ILinkState,
  IRelayedAnswerSink,
  IRelayedRequest,
} from "./types.ts";

/**
 * Requests of other instances that are forwarded at the same time. Each takes
 * two descriptors, and the instance's own callers need some as well.
 */
const MAXIMUM_RELAYED_REQUESTS = 256;

/** Dependencies of an `EngineRelay`. */
export interface IEngineRelayOptions {
  readonly client: IEngineClient;
  readonly table: Pick<EngineTable, "engine">;
  readonly health: Pick<EngineHealth, "recordFailure">;
  readonly links: ILinkState;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/** How the forwarding of a request ended, and why. */
interface IEnd {
  readonly outcome: RelayOutcome | "broken" | "left";
  readonly reason: string;
}

/**
 * Forwards requests of instances that have lost their links to the engines.
 *
 * Requests go to the engine over this instance's own links only, so that none
 * travels through a second instance. The instance that asks has placed the
 * request and decides about further attempts.
 */
export class EngineRelay {
  #options: IEngineRelayOptions;
  #active = 0;
  #isStopping = false;

  constructor(options: IEngineRelayOptions) {
    this.#options = options;
  }

  /** Whether other instances may send requests to this one. */
  get isOpen(): boolean {
    return !this.#isStopping;
  }

  /** Declines new requests from now on; those in progress go on. */
  setStopping(): void {
    this.#isStopping = true;
  }

  async forward(
    relayed: IRelayedRequest,
    sink: IRelayedAnswerSink,
  ): Promise<void> {
    const { clock, events } = this.#options;
    const startedAt = clock.monotonic();
    this.#active += 1;
    try {
      const { outcome, reason } = await this.#run(relayed, sink);
      events.emit(relayedRequestEnded, {
        request: relayed.request.id,
        engine: relayed.engine,
        from: relayed.from,
        ...{ outcome, reason },
        milliseconds: Math.round(clock.monotonic() - startedAt),
      });
    } finally {
      this.#active -= 1;
    }
  }

  async #run(
    relayed: IRelayedRequest,
    sink: IRelayedAnswerSink,
  ): Promise<IEnd> {
    const fail = (
      outcome: Exclude<RelayOutcome, "answered">,
      reason: string,
    ) => {
      sink.fail(outcome, reason);
      return { outcome, reason };
    };
    const declineReason = this.#declineReason();
    if (declineReason !== undefined) return fail("declined", declineReason);
    const engine = this.#options.table.engine(relayed.engine);
    if (!engine) return fail("unavailable", "the engine is not known here");
    if (engine.isLeaving) return fail("unavailable", "the engine leaves");
    const { request, freshConnection } = relayed;
    const startedAt = this.#options.clock.monotonic();
    let answer: IEngineAnswer;
    try {
      answer = await this.#options.client.send(engine, request, {
        signal: sink.signal,
        headDeadline: request.deadline,
        freshConnection,
      });
    } catch (error) {
      const { message } = error as Error;
      if (sink.signal.aborted) return { outcome: "left", reason: message };
      const mayHaveRun = !(error instanceof HttpExchangeError) ||
        error.mayHaveRun;
      const isOwnFault = await this.#blame(engine.id, {
        reason: message,
        startedAt,
      });
      if (mayHaveRun) return fail("lost", message);
      return fail(isOwnFault ? "declined" : "unreached", message);
    }
    return await this.#forwardAnswer(answer, sink, {
      engine: engine.id,
      deadline: request.deadline,
      startedAt,
    });
  }

  #declineReason(): string | undefined {
    if (this.#isStopping) return "the instance is stopping";
    if (this.#options.links.isCutOff) {
      return "the instance reaches no engine itself";
    }
    return this.#active > MAXIMUM_RELAYED_REQUESTS
      ? "the instance forwards too many requests"
      : undefined;
  }

  /** Resolves with whether this instance's own links are at fault. */
  async #blame(
    engine: string,
    options: { reason: string; startedAt: Deadline },
  ): Promise<boolean> {
    const { links, health } = this.#options;
    if (await links.check(options.startedAt)) return true;
    health.recordFailure(engine, options.reason);
    return false;
  }

  async #forwardAnswer(
    answer: IEngineAnswer,
    sink: IRelayedAnswerSink,
    options: { engine: string; deadline: Deadline; startedAt: Deadline },
  ): Promise<IEnd> {
    const { clock } = this.#options;
    const stop = () => answer.close();
    sink.signal.addEventListener("abort", stop, { once: true });
    if (sink.signal.aborted) stop();
    // The other instance may lose power without closing the connection.
    const timer = setTimeout(stop, clock.remaining(options.deadline));
    try {
      sink.begin(answer);
      for await (const bytes of inTurns(answer.body)) await sink.write(bytes);
      if (sink.signal.aborted) {
        return { outcome: "left", reason: "the other instance left" };
      }
      sink.end();
      return { outcome: "answered", reason: "" };
    } catch (error) {
      const { message } = error as Error;
      const isLeft = sink.signal.aborted;
      if (!isLeft && !clock.isPast(options.deadline)) {
        const { startedAt } = options;
        await this.#blame(options.engine, { reason: message, startedAt });
      }
      sink.abort();
      return { outcome: isLeft ? "left" : "broken", reason: message };
    } finally {
      clearTimeout(timer);
      sink.signal.removeEventListener("abort", stop);
      answer.close();
    }
  }
}
