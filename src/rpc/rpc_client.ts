import { err, ok, type Result } from "neverthrow";
import type { JSONRPCResponse } from "json-rpc-2.0";
import { match } from "ts-pattern";
import type { z } from "zod";
import {
  type Deadline,
  type Failure,
  failureSchema,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { connectionSilent } from "./events.ts";
import { pingMethod } from "./messages.ts";
import { RpcConnection, TIMEOUT_ERROR_CODE } from "./rpc_connection.ts";
import { FAILURE_ERROR_CODE } from "./rpc_server.ts";
import type {
  IRpcCallOptions,
  IRpcClient,
  IRpcMethod,
  IRpcStatistics,
  PeerAddress,
  RpcLane,
} from "./types.ts";

/** How often connections with waiting calls are probed, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 500;

/** Silence after which a probed connection is replaced, in milliseconds. */
const SILENCE_LIMIT_MILLISECONDS = 2_000;

/** Calls peers over pooled connections, one per peer and lane. */
export class RpcClient implements IRpcClient, IDisposable {
  readonly statistics: IRpcStatistics = {
    callsStarted: 0,
    callsTimedOut: 0,
    lateAnswersDropped: 0,
    silentConnectionsClosed: 0,
    bytesSent: 0,
    bytesReceived: 0,
  };
  #self: string;
  #clock: IClock;
  #events: IEventLog;
  #connections = new Map<string, Promise<RpcConnection>>();
  #open = new Set<RpcConnection>();
  #probe: NodeJS.Timeout;

  constructor(self: string, clock: IClock, options: { events: IEventLog }) {
    this.#self = self;
    this.#clock = clock;
    this.#events = options.events;
    this.#probe = setInterval(
      () => this.#probeConnections(),
      PROBE_INTERVAL_MILLISECONDS,
    );
    this.#probe.unref();
  }

  async call<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IRpcCallOptions,
  ): Promise<Result<z.infer<R>, Failure>> {
    this.statistics.callsStarted += 1;
    const lane = options.lane ?? "control";
    const connection = await this.#connect(peer, lane, options.deadline);
    if (connection.isErr()) return err(connection.error);
    const envelope = {
      from: this.#self,
      remaining: this.#clock.remaining(options.deadline),
      body: params as unknown,
    };
    const response = await connection.value.request(
      method.name,
      envelope,
      options.deadline,
    );
    return this.#result(method, response);
  }

  dispose(): void {
    clearInterval(this.#probe);
    for (const connection of this.#open) {
      connection.dispose();
    }
  }

  async #connect(
    peer: PeerAddress,
    lane: RpcLane,
    deadline: Deadline,
  ): Promise<Result<RpcConnection, Failure>> {
    const key = `${peer.address}:${peer.port}/${lane}`;
    if (this.#clock.isPast(deadline)) {
      return err(notRun("deadline-exceeded", "deadline passed before a call"));
    }
    const existing = this.#connections.get(key);
    const pending = existing ?? this.#dial(key, peer);
    try {
      const connection = await pending;
      if (!connection.isClosed) return ok(connection);
      if (this.#connections.get(key) === pending) {
        this.#connections.delete(key);
      }
      return this.#connect(peer, lane, deadline);
    } catch {
      const reason = `no connection to ${peer.id} at ${key}`;
      return err(notRun("unavailable", reason));
    }
  }

  #dial(key: string, peer: PeerAddress): Promise<RpcConnection> {
    const pending = RpcConnection.open(peer, {
      clock: this.#clock,
      statistics: this.statistics,
    });
    this.#connections.set(key, pending);
    pending.then(
      (connection) => this.#open.add(connection),
      () => this.#connections.delete(key),
    );
    return pending;
  }

  #result<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    response: JSONRPCResponse,
  ): Result<z.infer<R>, Failure> {
    if (response.error) {
      return err(this.#failure(method.name, response.error));
    }
    const result = method.result.safeParse(response.result);
    if (result.success) return ok(result.data);
    const reason = `${method.name}: unexpected answer: ${result.error.message}`;
    return err(mayHaveRun("internal", reason));
  }

  #failure(
    method: string,
    error: NonNullable<JSONRPCResponse["error"]>,
  ): Failure {
    return match(error.code)
      .with(FAILURE_ERROR_CODE, () => {
        const failure = failureSchema.safeParse(error.data);
        return failure.data ?? mayHaveRun("internal", error.message);
      })
      .with(TIMEOUT_ERROR_CODE, () => {
        this.statistics.callsTimedOut += 1;
        return mayHaveRun("deadline-exceeded", `${method}: no answer in time`);
      })
      .otherwise(() =>
        mayHaveRun("unavailable", `${method}: ${error.message}`)
      );
  }

  #probeConnections(): void {
    for (const connection of this.#open) {
      if (connection.isClosed) {
        this.#open.delete(connection);
      } else if (connection.pendingCalls > 0) {
        this.#probeConnection(connection);
      }
    }
  }

  #probeConnection(connection: RpcConnection): void {
    const silentSince = this.#clock.monotonic() - connection.lastReceived;
    const oldestProbe = connection.oldestPendingAge;
    if (
      silentSince > SILENCE_LIMIT_MILLISECONDS &&
      oldestProbe > SILENCE_LIMIT_MILLISECONDS
    ) {
      this.statistics.silentConnectionsClosed += 1;
      this.#events.emit(connectionSilent, {
        peer: connection.peer.id,
        address: `${connection.peer.address}:${connection.peer.port}`,
        pendingCalls: connection.pendingCalls,
      });
      connection.dispose();
      return;
    }
    const deadline = this.#clock.deadlineIn(SILENCE_LIMIT_MILLISECONDS * 2);
    const remaining = SILENCE_LIMIT_MILLISECONDS * 2;
    const envelope = { from: this.#self, remaining, body: {} };
    void connection.request(pingMethod.name, envelope, deadline);
  }
}
