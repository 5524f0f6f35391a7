import type { BurnReporter } from "../burn/mod.ts";
import { type IClock, notRun } from "../common/mod.ts";
import { sendFailure, sendJson } from "../entry/respond.ts";
import type { ExplainCollector } from "../explain/mod.ts";
import type { IMetrics } from "../metrics/mod.ts";
import type { IOperatorRoute } from "./types.ts";

/** Timeout of the queries to all instances for a report, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 3_000;

/** Maximum length of the identifier of a request or item, in characters. */
const MAXIMUM_SUBJECT_CHARACTERS = 256;

/** Sources of the reports. */
export interface IReportSources {
  readonly explain: ExplainCollector;
  readonly burn: BurnReporter;
  readonly metrics: IMetrics;
  readonly clock: IClock;
}

/** Routes for request traces, service levels and metrics. */
export function reportRoutes(sources: IReportSources): IOperatorRoute[] {
  const options = () => ({
    deadline: sources.clock.deadlineIn(REPORT_TIMEOUT_MILLISECONDS),
  });
  return [
    {
      method: "GET",
      path: /^\/explain$/,
      async handle({ url, response }) {
        const subject = url.searchParams.get("id") ?? "";
        if (subject === "" || subject.length > MAXIMUM_SUBJECT_CHARACTERS) {
          const reason = "id: must be the identifier of a request or item";
          return sendFailure(response, notRun("bad-request", reason));
        }
        const explanation = await sources.explain.explain(subject, options());
        sendJson(response, 200, explanation);
      },
    },
    {
      method: "GET",
      path: /^\/burn$/,
      async handle({ response }) {
        sendJson(response, 200, await sources.burn.report(options()));
      },
    },
    {
      method: "GET",
      path: /^\/metrics$/,
      handle({ response }) {
        response.writeHead(200, {
          "content-type": "text/plain; version=0.0.4; charset=utf-8",
        });
        response.end(sources.metrics.render());
        return Promise.resolve();
      },
    },
  ];
}
