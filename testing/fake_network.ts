import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Failure, mayHaveRun, notRun } from "../src/common/mod.ts";
import type {
  IRpcCallOptions,
  IRpcClient,
  IRpcMethod,
  IRpcServer,
  PeerAddress,
  RpcHandler,
} from "../src/rpc/mod.ts";
import type { TestRandom } from "./test_random.ts";
import type { VirtualClock, VirtualTime } from "./virtual_clock.ts";

// deno-lint-ignore no-explicit-any
type AnyHandler = RpcHandler<any, any>;

/** In-memory network between instances, with message loss and partitions. */
export class FakeNetwork {
  /** Percentage of messages that are lost. */
  lossPercent = 0;
  /** Maximum latency of a message; the minimum is 1 ms. */
  latencyMilliseconds = 3;
  /**
   * Percentage of messages that arrive late, as those do that a partition has
   * held up on one connection while others deliver.
   */
  latePercent = 0;
  /** Maximum latency of such a message. */
  lateMilliseconds = 3;
  /** Latency of the answers to calls that are handled now, if it is fixed. */
  answerLatencyMilliseconds: number | undefined;
  /** Instances whose incoming and outgoing messages are all lost. */
  readonly isolated = new Set<string>();
  readonly endpoints = new Map<string, FakeEndpoint>();
  #time: VirtualTime;
  #random: TestRandom;

  constructor(time: VirtualTime, random: TestRandom) {
    this.#time = time;
    this.#random = random;
  }

  /** Connects an instance, replacing the endpoint of its previous process. */
  connect(id: string, clock: VirtualClock): FakeEndpoint {
    const endpoint = new FakeEndpoint(id, clock, this);
    this.endpoints.set(id, endpoint);
    return endpoint;
  }

  /** Waits for the latency of a message; resolves with false if it is lost. */
  async deliver(
    from: string,
    to: string,
    latency = this.#latency(),
  ): Promise<boolean> {
    await new Promise<void>((resolve) => {
      this.#time.schedule(this.#time.now + latency, resolve);
    });
    if (this.isolated.has(from) || this.isolated.has(to)) return false;
    return !this.#random.chance(this.lossPercent);
  }

  #latency(): number {
    const isLate = this.latePercent > 0 &&
      this.#random.chance(this.latePercent);
    return this.#random.integer(
      1,
      isLate ? this.lateMilliseconds : this.latencyMilliseconds,
    );
  }
}

/** RPC client and server of one process of an instance. */
export class FakeEndpoint implements IRpcClient, IRpcServer {
  readonly id: string;
  readonly clock: VirtualClock;
  #network: FakeNetwork;
  #handlers = new Map<string, AnyHandler>();

  constructor(id: string, clock: VirtualClock, network: FakeNetwork) {
    this.id = id;
    this.clock = clock;
    this.#network = network;
  }

  handle<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    handler: RpcHandler<z.infer<P>, z.infer<R>>,
  ) {
    this.#handlers.set(method.name, handler);
    return { dispose: () => this.#handlers.delete(method.name) };
  }

  async call<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IRpcCallOptions,
  ): Promise<Result<z.infer<R>, Failure>> {
    const timer = new AbortController();
    const timeout = this.clock.sleepUntil(options.deadline, timer.signal)
      .then(() =>
        err(mayHaveRun("deadline-exceeded", "no response before the deadline"))
      );
    const text = JSON.stringify(params);
    const answer = this.#send(peer, method, { text, options });
    const result = await Promise.race([answer, timeout]);
    timer.abort();
    return result;
  }

  async #send<P extends z.ZodType, R extends z.ZodType>(
    peer: PeerAddress,
    method: IRpcMethod<P, R>,
    call: { text: string; options: IRpcCallOptions },
  ): Promise<Result<z.infer<R>, Failure>> {
    const isDelivered = await this.#network.deliver(this.id, peer.id);
    const target = this.#network.endpoints.get(peer.id);
    if (!isDelivered) return new Promise(() => {});
    const handler = target && target.#handlers.get(method.name);
    if (!target || target.clock.isEnded || !handler) {
      return err(notRun("unavailable", `${peer.id} is down`));
    }
    const remaining = this.clock.remaining(call.options.deadline);
    const context = {
      deadline: target.clock.deadlineIn(remaining),
      from: this.id,
    };
    const answer = await handler(JSON.parse(call.text), context);
    if (target.clock.isEnded) return new Promise(() => {});
    const isAnswerDelivered = await this.#network.deliver(
      peer.id,
      this.id,
      this.#network.answerLatencyMilliseconds,
    );
    if (!isAnswerDelivered) return new Promise(() => {});
    if (answer.isErr()) return err(answer.error);
    const result = method.result.safeParse(answer.value);
    return result.success
      ? ok(result.data)
      : err(mayHaveRun("internal", result.error.message));
  }
}
