import type { Progress } from "./progress.ts";

/** Creates a multipart upload that reports its progress. */
export function createUploadBody(
  file: Blob,
  name: string,
  progress: Progress,
): Response {
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", file, name);
  const multipart = new Response(form);
  let sent = 0;
  const counter = new TransformStream<Uint8Array, Uint8Array>({
    transform(part, controller) {
      sent += part.length;
      // The multipart headers are sent too but do not count as progress.
      progress.update(Math.min(sent, file.size), file.size);
      controller.enqueue(part);
    },
  });
  return new Response(multipart.body?.pipeThrough(counter), {
    headers: multipart.headers,
  });
}
