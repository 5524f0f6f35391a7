import type { IncomingMessage } from "node:http";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { Busboy } from "@fastify/busboy";

/** Longest uploaded file, in bytes. */
const MAXIMUM_FILE_BYTES = 1024 * 1024 * 1024;

/** The first file of a multipart upload, read as it arrives. */
export interface IUploadedFile {
  readonly name: string;
  readonly lines: AsyncIterable<string>;
  /** Whether the file was longer than allowed; known after the last line. */
  readonly isTruncated: () => boolean;
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
      let truncated = false;
      stream.on("limit", () => truncated = true);
      resolve({ name, lines: readLines(stream), isTruncated: () => truncated });
    });
    parser.on("error", reject);
    parser.on("finish", () => reject(new Error("the upload has no file")));
    message.on("error", reject);
    message.pipe(parser);
  });
}

async function* readLines(stream: Readable): AsyncGenerator<string> {
  for await (const line of createInterface({ input: stream })) {
    if (line.trim() !== "") yield line;
  }
}
