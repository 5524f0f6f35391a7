import type { ListedEngine } from "./types.ts";

/** Longest time between two readings of a list that misses no change, in ms. */
export const CURRENT_LIST_MILLISECONDS = 1_500;

/** The only software version of a service in the list of engines. */
interface ISoleVersion {
  readonly softwareVersion: string;
  /** Time since which all lists read here have had only this version. */
  since: number;
  /** The same for the lists that the leader has read; absent if not known. */
  leaderSince?: number;
  /** Term of the leader that has reported it. */
  leaderTerm?: number;
}

/** A service, its only software version and the time since it is so, in ms. */
export type SoleVersionReport = readonly [
  service: string,
  softwareVersion: string,
  milliseconds: number,
];

/** An answer of the leader that contains reports. */
export interface IReportSource {
  readonly term: number;
  /** When the answer was asked for; it may have waited on the way. */
  readonly requestedAt: number;
  readonly now: number;
}

/** Which services have had one software version only, and since when. */
export class SoleVersions {
  #versions = new Map<string, ISoleVersion>();
  #readAt = Number.NEGATIVE_INFINITY;
  /** Time since which the list has been current without interruption. */
  #currentSince = Number.NEGATIVE_INFINITY;

  /** Records that the latest list was current at a point in time. */
  confirm(readAt: number): void {
    if (readAt - this.#readAt > CURRENT_LIST_MILLISECONDS) {
      this.interrupt(readAt);
    }
    this.#readAt = Math.max(this.#readAt, readAt);
  }

  /** Records that changes of the list before a point in time were missed. */
  interrupt(at: number): void {
    this.#currentSince = Math.max(this.#currentSince, at);
    // Versions may have come and gone that the leader reported elsewhere.
    for (const version of this.#versions.values()) {
      delete version.leaderSince;
    }
  }

  /** Records another list, which was current when it was last confirmed. */
  update(engines: readonly ListedEngine[]): void {
    const versions = new Map<string, Set<string>>();
    for (const { service, softwareVersion } of engines) {
      const ofService = versions.get(service) ?? new Set();
      versions.set(service, ofService.add(softwareVersion));
    }
    const previous = this.#versions;
    this.#versions = new Map();
    for (const [service, [softwareVersion = "", ...others]] of versions) {
      if (softwareVersion === "" || others.length > 0) continue;
      const known = previous.get(service);
      this.#versions.set(
        service,
        known?.softwareVersion === softwareVersion
          ? known
          : { softwareVersion, since: this.#readAt },
      );
    }
  }

  /** Takes over what the leader knows, beside the list that it has sent. */
  adopt(reports: readonly SoleVersionReport[], source: IReportSource): void {
    const { term, requestedAt, now } = source;
    // Another version may have come and gone after the leader's answer, before
    // the lists that were read here without interruption.
    if (requestedAt < this.#currentSince) return;
    for (const [service, softwareVersion, milliseconds] of reports) {
      const known = this.#versions.get(service);
      if (known?.softwareVersion !== softwareVersion) continue;
      const leaderSince = now - milliseconds;
      // The leader has read a list with another version that was missed here.
      const hasChanged = known.leaderTerm === term &&
        leaderSince > (known.leaderSince ?? leaderSince) +
            CURRENT_LIST_MILLISECONDS;
      if (hasChanged) known.since = Math.max(known.since, leaderSince);
      known.leaderSince = leaderSince;
      known.leaderTerm = term;
    }
  }

  /** The only version of a service, and the time since which it is so. */
  find(
    service: string,
  ): { softwareVersion: string; since: number } | undefined {
    const known = this.#versions.get(service);
    if (!known) return undefined;
    const { softwareVersion, since, leaderSince = Infinity } = known;
    const ownSince = Math.max(since, this.#currentSince);
    return { softwareVersion, since: Math.min(ownSince, leaderSince) };
  }

  /** The same for all services, as a leader reports it. */
  report(now: number): SoleVersionReport[] {
    return [...this.#versions.keys()].flatMap((service) => {
      const found = this.find(service);
      if (!found || !Number.isFinite(found.since)) return [];
      const { softwareVersion, since } = found;
      return [[service, softwareVersion, Math.round(now - since)] as const];
    });
  }
}
