import { type Deadline, earlierDeadline, type IClock } from "../common/mod.ts";
import type {
  EngineTable,
  IStreamOrigin,
  StreamOrigins,
} from "../placement/mod.ts";
import type { Route } from "../service_routes/mod.ts";

/**
 * Longest search for the origin of a stream, in milliseconds. The leader's list
 * of engines, and with it the instance's, is renewed within this time.
 */
const SEARCH_MILLISECONDS = 900;

/**
 * Pause between two attempts to find the origin, in milliseconds. The entry
 * that began the stream may have reported it only after the first question to
 * the leader.
 */
const SEARCH_INTERVAL_MILLISECONDS = 100;

/**
 * Time beyond a route's timeout that a stream may have begun before its caller
 * resumes it, in milliseconds. Callers may wait longer than the timeout, which
 * a change of the configuration may have shortened.
 */
const RESUMPTION_MARGIN_MILLISECONDS = 10_000;

/** Service and software version at which a stream may go on. */
export type ResumptionTarget = Pick<
  IStreamOrigin,
  "service" | "softwareVersion"
>;

/** Asks the leader where a stream began. */
export interface IStreamOriginSource {
  /** Resolves with undefined if the leader does not know or answer. */
  findOrigin(request: string): Promise<ResumptionTarget | undefined>;
}

/** A caller's request to resume a stream. */
export interface IResumption {
  readonly route: Route;
  /** Attempt of the caller in which the stream began, if the caller names it. */
  readonly resumedRequest: string | undefined;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Dependencies of a `StreamOriginResolver`. */
export interface IStreamOriginResolverOptions {
  readonly origins: StreamOrigins;
  readonly table: EngineTable;
  readonly leader: IStreamOriginSource;
  readonly clock: IClock;
}

/**
 * Determines at which service and software version a caller's stream may go on.
 *
 * The version is certain if this instance or the leader has seen the stream
 * begin, or if the service has had only one version since before it can have
 * begun. Any other stream is not resumed, as engines of another version would
 * continue it with text that does not fit.
 */
export class StreamOriginResolver {
  #options: IStreamOriginResolverOptions;

  constructor(options: IStreamOriginResolverOptions) {
    this.#options = options;
  }

  /** Resolves with undefined if the version is not certain. */
  async resolve(
    resumption: IResumption,
  ): Promise<ResumptionTarget | undefined> {
    const { origins, leader, clock } = this.#options;
    const { route, resumedRequest, signal } = resumption;
    const arrivedAt = clock.monotonic();
    const deadline = clock.deadlineIn(SEARCH_MILLISECONDS);
    for (;;) {
      const own = resumedRequest === undefined
        ? undefined
        : origins.find(resumedRequest);
      const known = own ?? this.#findSole(route, arrivedAt);
      if (known) return known;
      const isOver = clock.isPast(deadline) || signal.aborted;
      if (isOver) return undefined;
      const origin = resumedRequest === undefined
        ? undefined
        : await leader.findOrigin(resumedRequest);
      if (origin) return origin;
      const next = clock.deadlineIn(SEARCH_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(earlierDeadline(next, deadline), signal);
    }
  }

  /**
   * Finds the only version at which a stream of the route can have begun. The
   * list must have been read after the caller came back: another instance may
   * have begun the stream at an engine that an older list does not show.
   */
  #findSole(route: Route, arrivedAt: Deadline): ResumptionTarget | undefined {
    const [service, ...others] = new Set(
      route.shares.filter(({ weight }) => weight > 0)
        .map((share) => share.service),
    );
    if (service === undefined || others.length > 0) return undefined;
    const { table } = this.#options;
    if (table.listReadAt < arrivedAt) return undefined;
    const softwareVersion = table.soleVersion(
      service,
      route.timeoutMilliseconds + RESUMPTION_MARGIN_MILLISECONDS,
    );
    return softwareVersion === undefined
      ? undefined
      : { service, softwareVersion };
  }
}
