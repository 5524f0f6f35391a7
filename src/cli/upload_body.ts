import type { Progress } from "./progress.ts";

/** Builds a multipart upload that shows how much of it has been sent. */
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
      // The envelope of the file is sent as well but not counted.
      progress.update(Math.min(sent, file.size), file.size);
      controller.enqueue(part);
    },
  });
  return new Response(multipart.body?.pipeThrough(counter), {
    headers: multipart.headers,
  });
}
