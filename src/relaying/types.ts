import type { Buffer } from "node:buffer";
import type { Deadline } from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import type { IEngineAnswer, IEngineRequest } from "../streams/mod.ts";
import type { RelayOutcome } from "./messages.ts";

/** Whether this instance reaches the engines over links of its own. */
export interface ILinkState {
  /** Whether the latest check reached none of the engines that it tried. */
  readonly isCutOff: boolean;
  /**
   * Resolves with whether this instance is cut off. Opens connections to find
   * out, unless one has opened since a point in time: the start of a failed
   * request, or the last bytes of its answer.
   */
  check(since: Deadline): Promise<boolean>;
}

/** Opens connections to engines to find out whether they can be reached. */
export interface IEngineConnector {
  /**
   * Opens a connection and closes it at once. Rejects if it has not opened by
   * the deadline.
   */
  connect(
    engine: ListedEngine,
    options: { deadline: Deadline; signal: AbortSignal },
  ): Promise<void>;
}

/** Paths from this instance to the engines. */
export interface IEnginePaths {
  /** Whether requests can reach engines directly or through an instance. */
  readonly hasPath: boolean;
  /**
   * Resolves with whether this instance has lost its own links; connections
   * that opened since a point in time show that it has not.
   */
  checkLinks(since: Deadline): Promise<boolean>;
}

/** Destination of the answer to a request that another instance forwards. */
export interface IRelayedAnswerSink {
  /** Aborted when the other instance has closed the connection. */
  readonly signal: AbortSignal;
  /** @param answer.isFramed whether its end is known without its connection. */
  begin(answer: Pick<IEngineAnswer, "status" | "headers" | "isFramed">): void;
  /** Resolves when more may be written. */
  write(bytes: Buffer): Promise<void>;
  end(): void;
  /** Closes the connection, which marks the answer as incomplete. */
  abort(): void;
  /** Answers without an engine's answer. */
  fail(outcome: Exclude<RelayOutcome, "answered">, reason: string): void;
}

/** A request that another instance asks this one to forward. */
export interface IRelayedRequest {
  /** Address of the other instance. */
  readonly from: string;
  readonly engine: string;
  readonly request: IEngineRequest & { readonly deadline: Deadline };
  /** Whether it needs a connection that no other request has used. */
  readonly freshConnection: boolean;
}
