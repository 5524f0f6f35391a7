import type { Result } from "neverthrow";
import { z } from "zod";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";

/** Address at which an instance accepts RPC connections from its peers. */
export const peerAddressSchema = z.object({
  id: z.string(),
  address: z.string(),
  port: z.number(),
});
export type PeerAddress = z.infer<typeof peerAddressSchema>;

/**
 * Connection group of a call. Large messages use separate connections, so
 * that a heartbeat is never queued behind a page of results.
 */
export type RpcLane = "control" | "bulk";

/** An RPC method with the schemas of its parameters and its result. */
export interface IRpcMethod<P extends z.ZodType, R extends z.ZodType> {
  readonly name: string;
  /** Lane of all calls of the method; overrides the options of the call. */
  readonly lane?: RpcLane;
  /** Whether calls may wait while others are handled; by default not. */
  readonly mayWait?: boolean;
  readonly params: P;
  readonly result: R;
}

/** Context of a received call. */
export interface IRpcContext {
  /** Time after which the caller no longer waits for the response. */
  readonly deadline: Deadline;
  /** Identifier of the calling instance. */
  readonly from: string;
}

/** Handles the calls of one method. */
export type RpcHandler<P, R> = (
  params: P,
  context: IRpcContext,
) => Promise<Result<R, Failure>>;

/** Registry of the methods that this instance serves. */
export interface IRpcServer {
  /** Registers a handler; disposing of the result removes it. */
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

/** Calls methods of other instances. */
export interface IRpcClient {
  /**
   * Calls a method. A failure has the verdict `not-run` only if the call was
   * never written to a connection or the peer reported that it did not run.
   */
  call<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IRpcCallOptions,
  ): Promise<Result<z.infer<R>, Failure>>;
}

/** Counters of calls and connections. */
export interface IRpcStatistics {
  callsStarted: number;
  callsTimedOut: number;
  /** Responses that arrived after their call had ended. */
  lateAnswersDropped: number;
  /** Silent connections closed because the peer answered on a new one. */
  silentConnectionsClosed: number;
  /** Connections given no new calls after calls on them had timed out. */
  doubtfulConnectionsLeft: number;
  /** Calls refused locally because a connection's write buffer was full. */
  callsRefusedCongested: number;
  bytesSent: number;
  bytesReceived: number;
}
