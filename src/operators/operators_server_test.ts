import { connect } from "node:net";
import test from "ava";
import { SilentEventLog } from "../events/mod.ts";
import { OperatorsServer } from "./operators_server.ts";

const ADDRESS = "127.0.0.1";

/** Sends a request line and resolves with the status line of the response. */
function sendRequestLine(port: number, requestLine: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, ADDRESS, () => {
      socket.write(`${requestLine}\r\nhost: figroad\r\n\r\n`);
    });
    socket.setEncoding("utf8");
    socket.on("data", (text) => {
      resolve(String(text).split("\r\n")[0] ?? "");
      socket.destroy();
    });
    socket.on("error", reject);
  });
}

test("server survives a failing route and an invalid URL", async (t) => {
  const server = new OperatorsServer([{
    method: "GET",
    path: /^\/broken$/,
    handle: () => Promise.reject(new Error("broken")),
  }, {
    method: "GET",
    path: /^\/fine$/,
    handle({ response }) {
      response.end("fine");
      return Promise.resolve();
    },
  }], { events: new SilentEventLog() });
  const port = await server.listen(ADDRESS, 0);
  t.regex(await sendRequestLine(port, "GET /broken HTTP/1.1"), / 500 /);
  t.regex(await sendRequestLine(port, "GET // HTTP/1.1"), / 400 /);
  t.regex(await sendRequestLine(port, "GET /unknown HTTP/1.1"), / 404 /);
  t.regex(await sendRequestLine(port, "GET /fine HTTP/1.1"), / 200 /);
  server.dispose();
});
