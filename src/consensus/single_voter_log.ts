import { mkdir, open, readFile } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  Emitter,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
import type {
  ILeadership,
  IReplicatedLog,
  IStateSection,
  LogStatus,
} from "./types.ts";

/** Log with one voter: every command is synced to its file, then applied. */
export class SingleVoterLog implements IReplicatedLog {
  readonly leadership: ILeadership;
  readonly #leadershipChange = new Emitter<ILeadership>();
  readonly onLeadershipChange = this.#leadershipChange.event;
  readonly leaseUntil = Number.POSITIVE_INFINITY as Deadline;
  #self: PeerAddress;
  #sections: Map<string, IStateSection>;
  #clock: IClock;
  #file: FileHandle | undefined;
  #index = 0;
  #writing: Promise<unknown> = Promise.resolve();

  constructor(
    self: PeerAddress,
    sections: readonly IStateSection[],
    options: { clock: IClock },
  ) {
    this.#self = self;
    this.#clock = options.clock;
    this.#sections = new Map(
      sections.map((section) => [section.definition.name, section]),
    );
    this.leadership = { term: 1, leader: self.id, isLeader: true };
  }

  /** Opens the log file and applies what it holds. */
  async start(folder: string): Promise<void> {
    await mkdir(folder, { recursive: true });
    const path = join(folder, "log.jsonl");
    this.#file = await open(path, "a");
    const lines = (await readFile(path, "utf8")).split("\n");
    for (const line of lines.filter((line) => line !== "")) {
      const { section, command, proposedAt } = JSON.parse(line);
      this.#apply(section, command, proposedAt);
    }
  }

  propose(section: string, command: unknown): Promise<
    Result<unknown, Failure>
  > {
    const run = this.#writing.then(() => this.#commit(section, command));
    this.#writing = run;
    return run;
  }

  barrier(): Promise<Result<void, Failure>> {
    return Promise.resolve(ok(undefined));
  }

  status(): LogStatus {
    return {
      id: this.#self.id,
      role: "leader",
      term: 1,
      leader: this.#self.id,
      firstIndex: 1,
      lastIndex: this.#index,
      commitIndex: this.#index,
      appliedIndex: this.#index,
      voters: [this.#self],
      learners: [],
    };
  }

  transferLeadership(): Promise<boolean> {
    return Promise.resolve(false);
  }

  async stop(): Promise<void> {
    await this.#writing;
    await this.#file?.close();
  }

  async #commit(
    section: string,
    command: unknown,
  ): Promise<Result<unknown, Failure>> {
    const parsed = this.#sections.get(section)?.definition.command
      .safeParse(command);
    if (!parsed?.success || !this.#file) {
      return err(notRun("bad-request", `no such command in ${section}`));
    }
    const proposedAt = this.#clock.wall();
    const entry = { section, command: parsed.data, proposedAt };
    await this.#file.write(`${JSON.stringify(entry)}\n`);
    await this.#file.datasync();
    return ok(this.#apply(section, parsed.data, proposedAt));
  }

  #apply(section: string, command: unknown, proposedAt: number): unknown {
    this.#index += 1;
    const context = { index: this.#index, term: 1, proposedAt };
    return this.#sections.get(section)?.apply(command, context);
  }
}
