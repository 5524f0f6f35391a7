import { err, ok, type Result } from "neverthrow";
import type { JSONRPCResponse } from "json-rpc-2.0";
import { match } from "ts-pattern";
import type { z } from "zod";
import {
  type Failure,
  failureSchema,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { DEFAULT_FLEET } from "./messages.ts";
import {
  CLOSED_ERROR_CODE,
  NOT_WRITTEN_ERROR_CODE,
  TIMEOUT_ERROR_CODE,
  TOO_LARGE_ERROR_CODE,
} from "./rpc_connection.ts";
import { FAILURE_ERROR_CODE } from "./served_connection.ts";
import type {
  IRpcCallOptions,
  IRpcClient,
  IRpcMethod,
  IRpcStatistics,
  PeerAddress,
} from "./types.ts";

/** JSON-RPC's standard error code for an unknown method. */
const METHOD_NOT_FOUND_ERROR_CODE = -32601;

/** Longest remaining time that a call may state; 24 hours. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 86_400_000;

/** Delay before the retry of a call that was refused for congestion. */
const RETRY_AFTER_SECONDS = 1;

/** Calls peers over pooled connections, one for each peer and lane. */
export class RpcClient implements IRpcClient, IDisposable {
  readonly statistics: IRpcStatistics = {
    callsStarted: 0,
    callsTimedOut: 0,
    lateAnswersDropped: 0,
    silentConnectionsClosed: 0,
    doubtfulConnectionsLeft: 0,
    callsRefusedCongested: 0,
    bytesSent: 0,
    bytesReceived: 0,
  };
  #localId: string;
  #fleet: string;
  #clock: IClock;
  #pool: ConnectionPool;

  constructor(
    localId: string,
    clock: IClock,
    options: { events: IEventLog; fleet?: string },
  ) {
    this.#localId = localId;
    this.#fleet = options.fleet ?? DEFAULT_FLEET;
    this.#clock = clock;
    const { events } = options;
    const { statistics } = this;
    this.#pool = new ConnectionPool(localId, { clock, events, statistics });
  }

  async call<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IRpcCallOptions,
  ): Promise<Result<z.infer<R>, Failure>> {
    this.statistics.callsStarted += 1;
    const { deadline } = options;
    const lane = method.lane ?? options.lane ?? "control";
    const connection = await this.#pool.connect(peer, lane, deadline);
    if (!connection) {
      const code = this.#clock.isPast(deadline)
        ? "deadline-exceeded"
        : "unavailable";
      return err(notRun(code, `no connection to ${peer.id}`));
    }
    if (connection.isCongested) {
      this.statistics.callsRefusedCongested += 1;
      return err(notRun("overloaded", `write buffer to ${peer.id} is full`, {
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      }));
    }
    const remaining = Math.min(
      this.#clock.remaining(deadline),
      MAXIMUM_TIMEOUT_MILLISECONDS,
    );
    const envelope = {
      from: this.#localId,
      fleet: this.#fleet,
      remaining,
      body: params as unknown,
    };
    const response = await connection.request(method.name, envelope, deadline);
    return this.#parseResponse(method, response);
  }

  dispose(): void {
    this.#pool.dispose();
  }

  #parseResponse<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    response: JSONRPCResponse,
  ): Result<z.infer<R>, Failure> {
    if (response.error) {
      return err(this.#toFailure(method.name, response.error));
    }
    const result = method.result.safeParse(response.result);
    if (result.success) return ok(result.data);
    const reason = `${method.name}: invalid result: ${result.error.message}`;
    return err(mayHaveRun("internal", reason));
  }

  #toFailure(
    method: string,
    error: NonNullable<JSONRPCResponse["error"]>,
  ): Failure {
    const reason = `${method}: ${error.message}`;
    return match(error.code)
      .with(FAILURE_ERROR_CODE, () => {
        const failure = failureSchema.safeParse(error.data);
        return failure.data ?? mayHaveRun("internal", reason);
      })
      .with(TIMEOUT_ERROR_CODE, () => {
        this.statistics.callsTimedOut += 1;
        return mayHaveRun("deadline-exceeded", `${method}: no answer in time`);
      })
      .with(CLOSED_ERROR_CODE, () => mayHaveRun("unavailable", reason))
      .with(
        NOT_WRITTEN_ERROR_CODE,
        METHOD_NOT_FOUND_ERROR_CODE,
        () => notRun("unavailable", reason),
      )
      .with(TOO_LARGE_ERROR_CODE, () => notRun("too-large", reason))
      .otherwise(() => mayHaveRun("internal", reason));
  }
}
