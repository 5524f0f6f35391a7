import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { type Fleet, LIVE_CALLER_KEY } from "../testing/fleet.ts";

/** Number of tokens in a live answer. */
const LIVE_TOKENS = 32;

/** Number of distinct random values. */
const RANDOM_STEPS = 1_000_000;

/** Request rate, and bursts in addition to it. */
export interface ILivePattern {
  readonly requestsPerSecond: number;
  readonly burstRequests: number;
  /** Time between the starts of two bursts. */
  readonly burstIntervalMilliseconds: number;
  /** Time over which the requests of a burst start. */
  readonly burstDurationMilliseconds: number;
}

/** Latencies that callers observed, in milliseconds, and counts. */
export interface ILiveSample {
  readonly firstTokens: number[];
  readonly gaps: number[];
  tokens: number;
  requests: number;
  /** Number of answers that were rejected, interrupted or incomplete. */
  failures: number;
}

/** Open-loop load generator that sends live requests on a seeded schedule. */
export class LiveClients {
  #fleet: Fleet;
  #agent = new Agent({ keepAlive: true });
  #generator: ReturnType<typeof xoroshiro128plus>;
  #openRequests = new Set<Promise<void>>();
  #sent = 0;

  constructor(fleet: Fleet, seed: number) {
    this.#fleet = fleet;
    this.#generator = xoroshiro128plus(seed);
  }

  /** Sends requests by a pattern for a duration; answers may follow later. */
  async run(
    pattern: ILivePattern,
    milliseconds: number,
  ): Promise<ILiveSample> {
    const sample: ILiveSample = {
      firstTokens: [],
      gaps: [],
      tokens: 0,
      requests: 0,
      failures: 0,
    };
    const startedAt = performance.now();
    for (const at of this.#schedule(pattern, milliseconds)) {
      await sleep(Math.max(0, startedAt + at - performance.now()));
      this.#startRequest(sample);
    }
    await sleep(Math.max(0, startedAt + milliseconds - performance.now()));
    return sample;
  }

  /** Resolves when all open requests have ended. */
  async waitForOpenRequests(): Promise<void> {
    await Promise.all(this.#openRequests);
  }

  #schedule(pattern: ILivePattern, milliseconds: number): number[] {
    const times: number[] = [];
    const mean = 1_000 / pattern.requestsPerSecond;
    let next = 0;
    while (next < milliseconds) {
      times.push(next);
      next += -Math.log(this.#random()) * mean;
    }
    const {
      burstRequests,
      burstIntervalMilliseconds: burstInterval,
      burstDurationMilliseconds: burstWidth,
    } = pattern;
    if (burstRequests === 0) return times;
    for (let at = 500; at < milliseconds; at += burstInterval) {
      for (let count = 0; count < burstRequests; count++) {
        times.push(at + this.#random() * burstWidth);
      }
    }
    return times.sort((first, second) => first - second);
  }

  #random(): number {
    const value = unsafeUniformIntDistribution(
      1,
      RANDOM_STEPS,
      this.#generator,
    );
    return value / RANDOM_STEPS;
  }

  #startRequest(sample: ILiveSample): void {
    const runningInstances = this.#fleet.instances.filter(({ process }) =>
      process.exitCode === null && process.signalCode === null
    );
    const instance = runningInstances[
      Math.floor(this.#random() * runningInstances.length * 0.999)
    ];
    if (!instance) return;
    const pending = this.#send(instance.callersUrl, sample);
    this.#openRequests.add(pending);
    void pending.finally(() => this.#openRequests.delete(pending));
  }

  #send(url: string, sample: ILiveSample): Promise<void> {
    this.#sent += 1;
    sample.requests += 1;
    const startedAt = performance.now();
    let lastTokenAt: number | undefined;
    let tokens = 0;
    const count = (text: string) => {
      const events = text.split('"content":').length - 1;
      for (let event = 0; event < events; event++) {
        const now = performance.now();
        if (lastTokenAt === undefined) sample.firstTokens.push(now - startedAt);
        else sample.gaps.push(now - lastTokenAt);
        lastTokenAt = now;
        tokens += 1;
      }
      sample.tokens += events;
    };
    return new Promise((resolve) => {
      const finish = () => {
        if (tokens !== LIVE_TOKENS) sample.failures += 1;
        resolve();
      };
      const outgoing = request(`${url}/v1/chat/completions`, {
        method: "POST",
        agent: this.#agent,
        headers: { authorization: `Bearer ${LIVE_CALLER_KEY}` },
      }, (response) => {
        response.setEncoding("utf8");
        response.on("data", count);
        response.on("close", finish);
      });
      outgoing.on("error", finish);
      outgoing.end(JSON.stringify({
        model: "alert-writer",
        messages: [{ role: "user", content: `alert ${this.#sent}` }],
        max_tokens: LIVE_TOKENS,
        stream: true,
      }));
    });
  }
}
