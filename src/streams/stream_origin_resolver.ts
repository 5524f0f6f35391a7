import type { IClock } from "../common/mod.ts";
import type {
  EngineTable,
  IStreamOrigin,
  StreamOrigins,
} from "../placement/mod.ts";
import type { Route } from "../service_routes/mod.ts";

/** Longest search for the origin of a stream, in milliseconds. */
const SEARCH_MILLISECONDS = 600;

/**
 * Pause between two questions to the leader, in milliseconds. The entry that
 * began the stream may have reported it only after the first question.
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
  /** Service that a new request would go to. */
  readonly service: string;
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
    const { origins, table } = this.#options;
    const { route, resumedRequest, service } = resumption;
    if (resumedRequest === undefined) {
      const softwareVersion = table.listedVersion(service);
      return softwareVersion === undefined
        ? undefined
        : { service, softwareVersion };
    }
    const known = origins.find(resumedRequest) ?? this.#findSole(route);
    return known ?? await this.#askLeader(resumedRequest, resumption.signal);
  }

  #findSole(route: Route): ResumptionTarget | undefined {
    const [share, ...others] = route.shares.filter(({ weight }) => weight > 0);
    if (!share || others.length > 0) return undefined;
    const softwareVersion = this.#options.table.soleVersion(
      share.service,
      route.timeoutMilliseconds + RESUMPTION_MARGIN_MILLISECONDS,
    );
    return softwareVersion === undefined
      ? undefined
      : { service: share.service, softwareVersion };
  }

  async #askLeader(
    request: string,
    signal: AbortSignal,
  ): Promise<ResumptionTarget | undefined> {
    const { leader, clock } = this.#options;
    const deadline = clock.deadlineIn(SEARCH_MILLISECONDS);
    while (!clock.isPast(deadline) && !signal.aborted) {
      const origin = await leader.findOrigin(request);
      if (origin) return origin;
      const next = clock.deadlineIn(SEARCH_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(next, signal);
    }
    return undefined;
  }
}
