#!/usr/bin/env node
import process from "node:process";
import { defineCommand, runMain } from "citty";
import { EventLog } from "../events/mod.ts";
import {
  formatDocumentError,
  loadDocument,
  settingsSchema,
} from "../settings/mod.ts";
import { startDaemon } from "../composition/mod.ts";
import { daemonStarted, daemonStopped, daemonStopping } from "./events.ts";

/** Exit code for invalid settings. */
const EXIT_BAD_SETTINGS = 2;

const command = defineCommand({
  meta: {
    name: "figroadd",
    description: "Daemon that serves online and batch inference",
  },
  args: {
    settings: {
      type: "string",
      required: true,
      description: "Settings file, JSON with comments",
    },
    check: {
      type: "boolean",
      description: "Check the settings and exit",
    },
  },
  async run({ args }) {
    const settings = await loadDocument(args.settings, settingsSchema);
    if (settings.isErr()) {
      const faults = settings.error.map(formatDocumentError).join("\n");
      process.stderr.write(`${faults}\n`);
      process.exit(EXIT_BAD_SETTINGS);
    }
    if (args.check) return;
    const { instance, log } = settings.value;
    const events = new EventLog(instance.id, log.level);
    const daemon = await startDaemon(settings.value, events);
    events.emit(daemonStarted, { ...daemon.ports });
    let isStopping = false;
    const stop = async (signal: string) => {
      if (isStopping) return;
      isStopping = true;
      events.emit(daemonStopping, { signal });
      await daemon.stop();
      events.emit(daemonStopped, {});
      process.exit(0);
    };
    process.on("SIGTERM", () => void stop("SIGTERM"));
    process.on("SIGINT", () => void stop("SIGINT"));
  },
});

await runMain(command);
