import type { Buffer } from "node:buffer";
import type { Deadline } from "../common/mod.ts";
import type { Relay } from "../relaying/mod.ts";
import type { Route } from "../service_routes/mod.ts";

/** Header lines as sent: name and value, in order. */
export type HeaderLines = readonly (readonly [string, string])[];

/** A caller's request that is forwarded unchanged. */
export interface IForwardedRequest {
  /** Identifier of the caller's attempt. */
  readonly id: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  /** Headers without the hop-by-hop ones. */
  readonly headers: HeaderLines;
  readonly body: Buffer;
  readonly route: Route;
  /** Time after which the caller no longer waits. */
  readonly deadline: Deadline;
  /** Time by which the route requires a final answer. */
  readonly routeDeadline: Deadline;
  /** Whether this is probably a retry after a refusal. */
  readonly isReturned: boolean;
  /** Identifiers of the prompt parts that it shares with other requests. */
  readonly promptParts: readonly string[];
  /** Identifiers that repetitions of the request share. */
  readonly contentIds: readonly string[];
  /** Caller that holds the request's key; absent if it needs none. */
  readonly caller?: string | undefined;
  /** Tokens of its prompt and of the longest output; absent if not known. */
  readonly tokens?: number | undefined;
  /** Identifier of the event after which the caller resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Attempt of the caller in which the resumed stream began. */
  readonly resumedRequest: string | undefined;
}

/** Destination of an answer. */
export interface IAnswerSink {
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** Whether the status and headers have been sent. */
  readonly hasBegun: boolean;
  begin(status: number, headers: HeaderLines): void;
  /** Resolves when more may be written. */
  write(bytes: Buffer): Promise<void>;
  end(): void;
  /** Closes the caller's connection, which marks the answer as incomplete. */
  abort(): void;
  /** Answers with a failure that figroad itself reports. */
  fail(failure: ILocalFailure): void;
}

/** Failure that figroad itself reports, instead of an engine. */
export interface ILocalFailure {
  /**
   * - `refused`: the request has not run and will not.
   * - `limited`: the same, because of the caller's limit.
   * - `failed`: it may have run.
   * - `timeout`: it may have run, and its deadline has passed.
   */
  readonly kind: "refused" | "limited" | "failed" | "timeout";
  readonly reason: string;
  /** Milliseconds after which the caller may retry. */
  readonly retryMilliseconds?: number;
}

/** An engine's answer, with what its headers say about the run. */
export interface IEngineAnswer {
  readonly status: number;
  readonly headers: HeaderLines;
  /** Whether the engine says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer is for this request and bears a signature. */
  readonly isGenuine: boolean;
  /** Whether a length or chunks tell where the answer ends. */
  readonly isFramed: boolean;
  /** Whether another instance has forwarded the answer. */
  readonly isRelayed: boolean;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection; the engine then drops the request. */
  close(): void;
}

/** Sends requests to engines; implemented by the platform's adapter. */
export interface IEngineClient {
  /** @throws HttpExchangeError, or RelayError if a relay is given */
  send(
    engine: { id: string; address: string; port: number },
    request: IEngineRequest,
    options: {
      signal: AbortSignal;
      headDeadline: Deadline;
      /** Asked at the deadline for a later one; without one, the call fails. */
      extendHeadDeadline?: () => Promise<Deadline | undefined>;
      freshConnection: boolean;
      /** Instance that forwards the request; absent to send it directly. */
      relay?: Relay;
    },
  ): Promise<IEngineAnswer>;
}

/** A request as an engine receives it. */
export interface IEngineRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  /** Time at which the engine stops work; undefined for batch items. */
  readonly deadline: Deadline | undefined;
  /** Identifier of the event after which the stream resumes. */
  readonly lastEventId: string | undefined;
}
