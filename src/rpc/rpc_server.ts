import { createServer, type Server, type Socket } from "node:net";
import { JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  CallBacklog,
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  listen,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { callsExpired, otherFleetRefused } from "./events.ts";
import {
  DEFAULT_FLEET,
  type Envelope,
  envelopeSchema,
  pingMethod,
} from "./messages.ts";
import { FAILURE_ERROR_CODE, ServedConnection } from "./served_connection.ts";
import type {
  IRpcContext,
  IRpcMethod,
  IRpcServer,
  RpcHandler,
} from "./types.ts";

/** Shortest time between two lines about calls that expired, in ms. */
const EXPIRED_LINE_INTERVAL_MILLISECONDS = 1_000;

/** Accepts connections of other instances and handles their calls. */
export class RpcServer implements IRpcServer, IDisposable {
  #clock: IClock;
  #events: IEventLog;
  #fleet: string;
  #methods = new JSONRPCServer<void>({ errorListener: () => {} });
  #server: Server;
  #sockets = new Set<Socket>();
  #backlog: CallBacklog;
  /** Calls that expired since the last line about them. */
  #expiredCalls = 0;
  #nextExpiredLineAt: Deadline;

  constructor(
    clock: IClock,
    events: IEventLog,
    options: { fleet?: string } = {},
  ) {
    this.#clock = clock;
    this.#backlog = new CallBacklog(clock);
    this.#nextExpiredLineAt = clock.monotonic();
    this.#fleet = options.fleet ?? DEFAULT_FLEET;
    this.#events = events;
    this.#server = createServer((socket) => void this.#serve(socket));
    this.handle(pingMethod, () => Promise.resolve(ok({})));
  }

  /** Starts to listen and resolves with the port. */
  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  handle<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    handler: RpcHandler<z.infer<P>, z.infer<R>>,
  ): IDisposable {
    this.#methods.addMethod(method.name, async (envelope: unknown) => {
      const result = await this.#invoke(method, handler, envelope);
      if (result.isOk()) return result.value;
      const { message } = result.error;
      throw new JSONRPCErrorException(
        message,
        FAILURE_ERROR_CODE,
        result.error,
      );
    });
    return { dispose: () => this.#methods.removeMethod(method.name) };
  }

  /** Closes the listener and every connection. */
  dispose(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  async #invoke<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    handler: RpcHandler<z.infer<P>, z.infer<R>>,
    message: unknown,
  ): Promise<Result<z.infer<R>, Failure>> {
    const envelope = envelopeSchema.safeParse(message);
    if (!envelope.success) {
      return err(notRun("bad-request", "call has no valid envelope"));
    }
    if (method.name !== pingMethod.name && !this.#isSameFleet(envelope.data)) {
      return err(
        notRun("forbidden", `this instance belongs to fleet ${this.#fleet}`),
      );
    }
    if (envelope.data.remaining <= 0) {
      return err(
        notRun("deadline-exceeded", "the caller's deadline has passed"),
      );
    }
    const deadline = this.#clock.deadlineIn(envelope.data.remaining);
    if (method.mayWait && !await this.#backlog.enter(deadline)) {
      this.#recordExpired(method.name);
      return err(
        notRun("deadline-exceeded", "the call waited past its deadline"),
      );
    }
    const params = method.params.safeParse(envelope.data.body);
    if (!params.success) {
      const reason = `${method.name}: ${params.error.message}`;
      return err(notRun("bad-request", reason));
    }
    const context: IRpcContext = { deadline, from: envelope.data.from };
    return await handler(params.data, context);
  }

  #recordExpired(method: string): void {
    this.#expiredCalls += 1;
    if (!this.#clock.isPast(this.#nextExpiredLineAt)) return;
    this.#nextExpiredLineAt = this.#clock.deadlineIn(
      EXPIRED_LINE_INTERVAL_MILLISECONDS,
    );
    const count = this.#expiredCalls;
    this.#expiredCalls = 0;
    const waiting = this.#backlog.length;
    this.#events.emit(callsExpired, { method, count, waiting });
  }

  /**
   * Reports a call of another fleet, which indicates a wrong address in the
   * caller's settings.
   */
  #isSameFleet({ from, fleet }: Envelope): boolean {
    if (fleet === this.#fleet) return true;
    this.#events.emit(otherFleetRefused, { from, fleet: fleet ?? "" });
    return false;
  }

  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    await new ServedConnection(socket, {
      methods: this.#methods,
      clock: this.#clock,
      events: this.#events,
    }).serve();
    this.#sockets.delete(socket);
  }
}
