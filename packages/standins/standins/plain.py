"""A stand-in for a plain service: tells what it was sent, and counts."""

import argparse
import hashlib

from standins import web

RUN_HEADER = "X-Run-Id"
_STREAM_CHUNKS = 8


class PlainService(web.Server):
    """Echoes each request; its runs are counted by header or body.

    A request counts as one run under the value of `X-Run-Id`, or else under
    the hash of its body. A path that ends in `/stream` is answered chunked.
    """

    def serve(self, exchange: web.Exchange) -> None:
        """See `web.Server`."""
        name = exchange.header(RUN_HEADER) or web.fingerprint(exchange.body)
        self.ran(name)
        value = {
            "method": exchange.method,
            "path": exchange.path,
            "headers": exchange.headers,
            "body_sha256": hashlib.sha256(exchange.body).hexdigest(),
            "run": name,
        }
        if exchange.method == "HEAD":
            exchange.begin(200, (), 0)
            return
        if exchange.path.split("?")[0].endswith("/stream"):
            self._stream(exchange, name)
            return
        exchange.answer_json(200, value)

    def _stream(self, exchange: web.Exchange, name: str) -> None:
        exchange.begin(200, (("Content-Type", "text/plain"),))
        for index in range(_STREAM_CHUNKS):
            if index == _STREAM_CHUNKS // 2:
                exchange.middle()
            exchange.chunk(f"{name} {index}\n".encode())
        exchange.chunk(b"")


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    flags = parser.parse_args()
    web.run(lambda: PlainService(flags.address))


if __name__ == "__main__":
    main()
