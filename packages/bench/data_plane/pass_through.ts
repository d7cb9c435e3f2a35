/** The baseline: a minimal Node.js reverse proxy. */
import {
  Agent,
  createServer,
  request as startRequest,
  type Server,
} from "node:http";

/** Creates a server that forwards all requests to one base URL. */
export function createPassThrough(targetUrl: string): Server {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 1_024 });
  return createServer((incoming, response) => {
    const outgoing = startRequest(
      `${targetUrl}${incoming.url ?? "/"}`,
      { method: incoming.method ?? "GET", headers: incoming.headers, agent },
      (answer) => {
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
      },
    );
    outgoing.on("error", () => response.destroy());
    response.on("close", () => {
      if (!response.writableFinished) outgoing.destroy();
    });
    incoming.pipe(outgoing);
  });
}
