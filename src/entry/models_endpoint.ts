import { sendJson } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

/** Endpoint that lists the models that the caller may use. */
export class ModelsEndpoint implements IEndpoint {
  matches(method: string, path: string): boolean {
    return method === "GET" && path === "/v1/models";
  }

  handle(request: ICallerRequest): Promise<void> {
    const grants = request.configuration.grantsOf(request.caller.name);
    const models = new Set(grants.map(({ service }) => service.model));
    const data = [...models].map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "figroad",
    }));
    sendJson(request.response, 200, { object: "list", data });
    return Promise.resolve();
  }
}
