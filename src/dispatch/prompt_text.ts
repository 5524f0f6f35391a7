import type { Generation } from "../targets/mod.ts";

/** Returns the text of a prompt, for prefix affinity. */
export function promptText(generation: Generation): string {
  const { messages, prompt } = generation.body;
  if (generation.endpoint === "/v1/completions") return String(prompt ?? "");
  if (!Array.isArray(messages)) return "";
  return messages.map((message) => JSON.stringify(message)).join("\n");
}
