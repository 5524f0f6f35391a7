// Generates docs/EVENTS.md from the events in `src/*/events.ts`.
import { writeFile } from "node:fs/promises";
import { loadCatalogue } from "./catalogue.ts";
import { renderEventsPage } from "./events_page.ts";

const page = renderEventsPage(await loadCatalogue());
await writeFile("docs/EVENTS.md", page);
