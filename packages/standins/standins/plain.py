"""A stand-in for a plain service that echoes its requests and counts runs."""

import argparse
import hashlib

from standins import web

RUN_HEADER = "X-Run-Id"
_STREAM_CHUNKS = 8


class PlainService(web.Server):
    """Answers each request with a description of it, and counts the run.

    Runs are counted by the value of `X-Run-Id`, or by the hash of the body if
    there is no such header. Paths that end in `/stream` get a chunked answer.
    """

    def serve(self, exchange: web.Exchange) -> None:
        """See `web.Server`."""
        run = exchange.header(RUN_HEADER) or web.fingerprint(exchange.body)
        self.ran(run)
        value = {
            "method": exchange.method,
            "path": exchange.path,
            "headers": exchange.headers,
            "body_sha256": hashlib.sha256(exchange.body).hexdigest(),
            "run": run,
        }
        if exchange.method == "HEAD":
            exchange.begin(200, (), 0)
            return
        if exchange.path.split("?")[0].endswith("/stream"):
            self._stream(exchange, run)
            return
        exchange.answer_json(200, value)

    def _stream(self, exchange: web.Exchange, run: str) -> None:
        exchange.begin(200, (("Content-Type", "text/plain"),))
        for index in range(_STREAM_CHUNKS):
            if index == _STREAM_CHUNKS // 2:
                exchange.apply_body_faults()
            exchange.chunk(f"{run} {index}\n".encode())
        exchange.chunk(b"")


def main() -> None:
    """Runs the stand-in service as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    flags = parser.parse_args()
    web.run(lambda: PlainService(flags.address))


if __name__ == "__main__":
    main()
