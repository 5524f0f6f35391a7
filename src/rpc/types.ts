import type { Result } from "neverthrow";
import { z } from "zod";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";

/** Where an instance listens for calls of other instances. */
export const peerAddressSchema = z.object({
  id: z.string(),
  address: z.string(),
  port: z.number(),
});
export type PeerAddress = z.infer<typeof peerAddressSchema>;

/**
 * Connection group of a call. Long messages travel apart from short ones,
 * so that a heartbeat never queues behind a result page.
 */
export type RpcLane = "control" | "bulk";

/** A method that one instance calls at another. */
export interface IRpcMethod<P extends z.ZodType, R extends z.ZodType> {
  readonly name: string;
  /** Lane of all calls of the method, whatever the call's options say. */
  readonly lane?: RpcLane;
  readonly params: P;
  readonly result: R;
}

/** Circumstances of a received call. */
export interface IRpcContext {
  /** Point after which the caller no longer waits for the answer. */
  readonly deadline: Deadline;
  /** Identifier of the calling instance. */
  readonly from: string;
}

/** Answers one method. */
export type RpcHandler<P, R> = (
  params: P,
  context: IRpcContext,
) => Promise<Result<R, Failure>>;

/** Registry of the methods that this instance answers. */
export interface IRpcServer {
  handle<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    handler: RpcHandler<z.infer<P>, z.infer<R>>,
  ): IDisposable;
}

/** Options of a call. */
export interface IRpcCallOptions {
  readonly deadline: Deadline;
  /** Defaults to `control`. */
  readonly lane?: RpcLane;
}

/** Calls methods at other instances. */
export interface IRpcClient {
  /**
   * Calls a method. A failure has the verdict `not-run` only when the call
   * was never written to a connection or the peer said so.
   */
  call<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IRpcCallOptions,
  ): Promise<Result<z.infer<R>, Failure>>;
}

/** Counts of what happened to calls and connections. */
export interface IRpcStatistics {
  callsStarted: number;
  callsTimedOut: number;
  /** Answers that came after their call had been abandoned. */
  lateAnswersDropped: number;
  /** Connections replaced: silent while a new one was answered. */
  silentConnectionsClosed: number;
  /** Connections that got no new calls after calls on them timed out. */
  doubtfulConnectionsLeft: number;
  /** Calls refused here because a connection's write buffer was full. */
  callsRefusedCongested: number;
  bytesSent: number;
  bytesReceived: number;
}
