// Runs a stand-in engine: node run_engine.js PORT [JSON options]
import process from "node:process";
import { EngineStandin } from "./engine_standin.ts";

const [port, options] = process.argv.slice(2);
const engine = new EngineStandin(JSON.parse(options ?? "{}"));
const boundPort = await engine.listen(Number(port ?? 0));
process.stdout.write(`${JSON.stringify({ port: boundPort })}\n`);
process.on("SIGTERM", () => process.exit(0));
