import { appendFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { Engine, EngineList, type IEngineOptions } from "./engines_3.ts";
import { Fleet, type IMachine } from "./fleet_3.ts";
import { call, type IAnswer, sleep } from "./http_3.ts";

/** Host of all routes of the deployment. */
export const HOST = "nony24.example";

const SERVICE = "skyvoice";

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Time after which the operator asks another node. */
const OPERATOR_MILLISECONDS = 2_000;

/** Time limit of a client's call about a batch job. */
const JOB_MILLISECONDS = 4_000;

/** Writes what was sent, answered and run to a file. */
export class CaseRecord {
  #path: string;
  #startedAt = performance.now();

  constructor(path: string) {
    this.#path = path;
    writeFileSync(path, "");
  }

  write(text: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    const line = `${seconds.toFixed(3).padStart(8)} ${text}\n`;
    appendFileSync(this.#path, line);
    process.stdout.write(line);
  }
}

/** Result of an item as clients read it. */
export interface IItemResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/** A small deployment with its engines, operator and clients. */
export class Deployment {
  readonly fleet: Fleet;
  readonly engines: readonly Engine[];
  readonly record: CaseRecord;
  #list: EngineList;

  private constructor(options: {
    fleet: Fleet;
    engines: readonly Engine[];
    record: CaseRecord;
    list: EngineList;
  }) {
    this.fleet = options.fleet;
    this.engines = options.engines;
    this.record = options.record;
    this.#list = options.list;
  }

  /** Starts machines and engines; resolves when the entries are ready. */
  static async start(
    record: CaseRecord,
    options: { entries: number; engines: number; engine: IEngineOptions },
  ): Promise<Deployment> {
    const list = new EngineList();
    const engines: Engine[] = [];
    for (let index = 0; index < options.engines; index++) {
      const engine = new Engine(`i-${index}`, options.engine);
      const address = await engine.listen();
      const { slots } = options.engine;
      list.add({ id: engine.id, address, slots }, SERVICE);
      engines.push(engine);
    }
    const fleet = await Fleet.create(await list.listen());
    const deployment = new Deployment({ fleet, engines, record, list });
    await fleet.bootstrap({ stores: 3, entries: options.entries });
    record.write(`started 3 stores and ${options.entries} entries`);
    await deployment.putConfiguration(1, { milliseconds: 20_000 });
    await deployment.#waitUntilReady(15_000);
    return deployment;
  }

  /** Sends a configuration until a store acknowledges it. */
  async putConfiguration(
    version: number,
    options: {
      milliseconds: number;
      stores?: readonly IMachine[];
      /** Whether the configuration drops the route of the streams. */
      dropsStreams?: boolean;
    },
  ): Promise<IMachine> {
    const stores = options.stores ?? this.fleet.stores();
    const end = performance.now() + options.milliseconds;
    for (let turn = 0; performance.now() < end; turn++) {
      const store = stores[turn % stores.length]!;
      const answer = await this.#control(store, {
        method: "PUT",
        body: JSON.stringify(configuration(version, options)),
      });
      this.#writeAnswer(`PUT version ${version} at ${store.name}`, answer);
      if (answer.status === 200) return store;
      await sleep(200);
    }
    throw new Error(`version ${version} was not acknowledged`);
  }

  /** Reads the configuration at a store; undefined if it does not come. */
  async readVersion(store: IMachine): Promise<number | undefined> {
    const answer = await this.#control(store, { method: "GET" });
    this.#writeAnswer(`GET configuration at ${store.name}`, answer);
    if (answer.status !== 200) return undefined;
    return Number(JSON.parse(answer.body).version);
  }

  /** Submits a batch job until an entry accepts it. */
  async submitJob(
    id: string,
    options: { items: number; milliseconds: number },
  ): Promise<void> {
    const items = Array.from({ length: options.items }, (_, index) => ({
      id: `${id}-${index}`,
      path: `/rollcall/${index}`,
      headers: { Model: "m", "Token-Count": "250,400" },
      body: "q83vEjRWeJA=",
      tokens: 650,
    }));
    const entries = this.fleet.entries();
    const end = performance.now() + options.milliseconds;
    for (let turn = 0; performance.now() < end; turn++) {
      const entry = entries[turn % entries.length]!;
      const answer = await this.#front(entry, {
        method: "POST",
        path: "/rollcall/",
        headers: { "Request-Id": id, "Content-Type": "application/json" },
        body: JSON.stringify({ items }),
      });
      this.#writeAnswer(`POST batch job ${id} at ${entry.name}`, answer);
      if (answer.status === 202) return;
      await sleep(200);
    }
    throw new Error(`batch job ${id} was not accepted`);
  }

  /** Reads a batch job from the start; undefined if it cannot be read. */
  async readJob(
    id: string,
    entry: IMachine,
  ): Promise<{ total: number; results: IItemResult[] } | undefined> {
    const answer = await this.#front(entry, {
      method: "GET",
      path: `/figroad/lots/${id}?after=0`,
    });
    if (answer.status !== 200) {
      this.#writeAnswer(`GET batch job ${id} at ${entry.name}`, answer);
      return undefined;
    }
    const read = JSON.parse(answer.body);
    const { total, results } = read;
    this.record.write(
      `GET batch job ${id} at ${entry.name}: 200, ` +
        `${results.length} of ${total} results`,
    );
    return { total, results };
  }

  /** Reads a batch job until all of its results are listed. */
  async waitForJob(id: string, milliseconds: number): Promise<IItemResult[]> {
    const entries = this.fleet.entries();
    const end = performance.now() + milliseconds;
    for (let turn = 0; performance.now() < end; turn++) {
      const read = await this.readJob(id, entries[turn % entries.length]!);
      if (read && read.results.length === read.total) return read.results;
      await sleep(500);
    }
    throw new Error(`batch job ${id} was not finished`);
  }

  /** Sends a request for a stream; resolves with the status. */
  async requestStream(id: string, entry: IMachine): Promise<number> {
    const answer = await this.#front(entry, {
      ...{ method: "POST", path: "/sky/2f", body: "q83v" },
      headers: {
        ...{ "Request-Id": id, "Deadline-Ms": "3000", Model: "m" },
        "Token-Count": "250,80",
      },
    });
    this.#writeAnswer(`POST stream ${id} at ${entry.name}`, answer);
    return answer.status;
  }

  /** Whether an engine has run a request. */
  hasRun(id: string): boolean {
    return this.engines.some(({ runs }) =>
      runs.some(({ request }) => request === id)
    );
  }

  /** The store that was elected as leader last, according to the logs. */
  async findLeader(): Promise<IMachine | undefined> {
    let leader: IMachine | undefined;
    let latestTerm = 0;
    for (const store of this.fleet.stores()) {
      const log = await this.fleet.log(store);
      for (const line of log.split("\n")) {
        const term = /"name":"leader-elected".*"term":(\d+)/.exec(line)?.[1];
        if (Number(term ?? 0) <= latestTerm) continue;
        latestTerm = Number(term);
        leader = store;
      }
    }
    return leader;
  }

  async dispose(): Promise<void> {
    await this.fleet.dispose();
    for (const engine of this.engines) engine.close();
    this.#list.close();
  }

  async #waitUntilReady(milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds;
    for (const { name, address } of this.fleet.entries()) {
      for (;;) {
        const answer = await call({
          ...{ address, port: this.fleet.ports.ready, method: "GET" },
          ...{ path: "/figroad/ready", milliseconds: 1_000 },
        });
        if (answer.status === 200) break;
        if (performance.now() > end) throw new Error(`${name} is not ready`);
        await sleep(200);
      }
    }
    this.record.write("all entries are ready");
  }

  #control(
    store: IMachine,
    message: { method: string; body?: string },
  ): Promise<IAnswer> {
    return call({
      ...{ address: store.address, port: this.fleet.ports.control },
      ...{ path: "/figroad/config", milliseconds: OPERATOR_MILLISECONDS },
      headers: { "Content-Type": "application/json" },
      ...message,
    });
  }

  #front(
    entry: IMachine,
    message: {
      method: string;
      path: string;
      headers?: Record<string, string>;
      body?: string;
    },
  ): Promise<IAnswer> {
    return call({
      ...{ address: entry.address, port: this.fleet.ports.front },
      ...{ milliseconds: JOB_MILLISECONDS, ...message },
      headers: { Host: HOST, ...message.headers },
    });
  }

  #writeAnswer(sent: string, answer: IAnswer): void {
    const { status, body, error } = answer;
    const detail = status === 200 || status === 202
      ? ""
      : ` ${error ?? body.slice(0, 120)}`;
    this.record.write(`${sent}: ${status || "no answer"}${detail}`);
  }
}

/** A configuration with a route for batch jobs and, by default, for streams. */
function configuration(version: number, options: { dropsStreams?: boolean }) {
  const streams = {
    ...{ name: "sky-brief", host: HOST, "path-prefix": "/sky/" },
    ...{ kind: "stream", "timeout-ms": 5_000, "goal-ms": 300 },
    ...{ priority: 0, service: SERVICE, attempts: 2, sticky: true },
    ...{ resumable: true, "gap-target-ms": 400 },
  };
  const jobs = {
    ...{ name: "guest-rollcall", host: HOST, "path-prefix": "/rollcall/" },
    ...{ kind: "batch", "timeout-ms": 15_000, "goal-ms": 400 },
    ...{ priority: 2, service: SERVICE, attempts: 3, sticky: true },
    ...{ resumable: true, "result-target-ms": 18_000, "retention-s": 60 },
  };
  return {
    version,
    routes: options.dropsStreams ? [jobs] : [streams, jobs],
    services: [{
      ...{ name: SERVICE, "health-path": "/health", "max-conns": 580 },
      ...{ protocol: "h1", tls: false },
      engine: { slots: 8, "kv-capacity": 72_000 },
    }],
    limits: {
      ...{ "header-bytes": 16_384, "body-bytes": 4_194_304 },
      ...{ "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
    },
  };
}

/** Runs a case, which resolves with the rules that were broken. */
export async function runCase(
  path: string,
  run: (record: CaseRecord) => Promise<string[]>,
): Promise<never> {
  const record = new CaseRecord(path);
  let exitCode = EXIT.notRun;
  try {
    const broken = await run(record);
    for (const rule of broken) record.write(`BROKEN ${rule}`);
    if (broken.length === 0) record.write("the rule held");
    exitCode = broken.length > 0 ? EXIT.broken : EXIT.held;
  } catch (error) {
    record.write(`the case could not run: ${(error as Error).message}`);
  }
  process.exit(exitCode);
}
