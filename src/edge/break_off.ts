import type { ServerResponse } from "node:http";

/**
 * Closes the connection of a response that cannot be completed, so that it does
 * not look complete.
 *
 * A response to a caller with HTTP/1.0 is not chunked and ends with its
 * connection, which must then be reset.
 */
export function breakOff(response: ServerResponse): void {
  const isChunked = response.req.httpVersion !== "1.0";
  if (isChunked || !response.headersSent) response.destroy();
  else response.socket?.resetAndDestroy();
}
