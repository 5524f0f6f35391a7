import type { IncomingMessage } from "node:http";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { Busboy } from "@fastify/busboy";

/** Maximum size of an uploaded file, in bytes. */
const MAXIMUM_FILE_BYTES = 1024 * 1024 * 1024;

/** The first file of a multipart upload, read as a stream. */
export interface IUploadedFile {
  readonly name: string;
  /** Throws after the last line if the upload is incomplete or too large. */
  readonly lines: AsyncIterable<string>;
}

/** Resolves when the first file of the upload begins; rejects without one. */
export function openUpload(message: IncomingMessage): Promise<IUploadedFile> {
  return new Promise((resolve, reject) => {
    const contentType = message.headers["content-type"] ?? "";
    const parser = new Busboy({
      headers: { "content-type": contentType },
      limits: { files: 1, fileSize: MAXIMUM_FILE_BYTES },
    });
    parser.on("file", (_field, stream, name) => {
      message.once("close", () => {
        if (!message.complete) stream.destroy(new Error("connection closed"));
      });
      resolve({ name, lines: readLines(stream) });
    });
    parser.on("error", reject);
    parser.on("finish", () => reject(new Error("upload contains no file")));
    message.on("error", reject);
    message.pipe(parser);
  });
}

async function* readLines(stream: Readable): AsyncGenerator<string> {
  let truncated = false;
  let failure: unknown;
  stream.on("limit", () => truncated = true);
  stream.on("error", (error) => failure = error);
  const lines = createInterface({ input: stream });
  stream.once("close", () => lines.close());
  for await (const line of lines) {
    if (line.trim() !== "") yield line;
  }
  if (failure !== undefined) throw failure;
  if (truncated) throw new Error(`file exceeds ${MAXIMUM_FILE_BYTES} bytes`);
}
