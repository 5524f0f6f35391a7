import { randomUUID } from "node:crypto";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { ConfigurationSection } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { heartbeatMethod, type Instance, type Member } from "./messages.ts";

/** Silence after which an instance is suspected, in milliseconds. */
const SUSPECT_AFTER_MILLISECONDS = 3_000;

/** Silence after which an instance counts as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 10_000;

/** Silence after which a lost instance is forgotten, in milliseconds. */
const FORGET_AFTER_MILLISECONDS = 600_000;

/** How often the health of members is reviewed, in milliseconds. */
const REVIEW_INTERVAL_MILLISECONDS = 500;

interface IRecord {
  instance: Instance;
  heardAt: Deadline;
}

/** Member list on the log's leader, made of heartbeats. */
export class MemberRegistry implements IDisposable {
  #clock: IClock;
  #records = new Map<string, IRecord>();
  #members: Member[] = [];
  #revision: string = randomUUID();
  #store = new DisposableStore();

  constructor(
    log: IReplicatedLog,
    configuration: ConfigurationSection,
    options: { clock: IClock; server: IRpcServer },
  ) {
    this.#clock = options.clock;
    const { server } = options;
    this.#store.add(server.handle(heartbeatMethod, async (params, context) => {
      const barrier = await log.barrier(context);
      return barrier.map(() => {
        this.#hear(params.instance);
        return {
          configurationVersion: configuration.current?.version ?? 0,
          membersRevision: this.#revision,
          members: params.membersRevision === this.#revision
            ? undefined
            : this.#members,
        };
      });
    }));
    const timer = setInterval(
      () => this.#review(),
      REVIEW_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  /** All known instances with their health. */
  get members(): readonly Member[] {
    return this.#members;
  }

  dispose(): void {
    this.#store.dispose();
  }

  #hear(instance: Instance): void {
    const heardAt = this.#clock.monotonic();
    this.#records.set(instance.id, { instance, heardAt });
    this.#review();
  }

  #review(): void {
    const now = this.#clock.monotonic();
    for (const [id, record] of this.#records) {
      if (now - record.heardAt > FORGET_AFTER_MILLISECONDS) {
        this.#records.delete(id);
      }
    }
    const members = [...this.#records.values()].map((record) => ({
      ...record.instance,
      health: healthAfter(now - record.heardAt),
    }));
    if (JSON.stringify(members) === JSON.stringify(this.#members)) return;
    this.#members = members;
    this.#revision = randomUUID();
  }
}

function healthAfter(silence: number): Member["health"] {
  if (silence > LOST_AFTER_MILLISECONDS) return "lost";
  if (silence > SUSPECT_AFTER_MILLISECONDS) return "suspect";
  return "live";
}
