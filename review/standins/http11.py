"""A small HTTP/1.1 server on asyncio for the stand-ins."""

import asyncio
import json
from typing import NamedTuple


class Request(NamedTuple):
    """A request; the names of its headers are in lower case."""

    method: str
    path: str
    query: str
    target: str
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter


class Answer(NamedTuple):
    """An answer with its whole body, or with pieces that come later."""

    status: int
    headers: tuple = ()
    body: bytes = b""
    pieces: object = None


def json_answer(status, value, headers=()):
    return Answer(
        status,
        (("Content-Type", "application/json"), *headers),
        json.dumps(value).encode(),
    )


async def read_request(reader, writer):
    """Reads one request; `None` at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    path, _, query = target.partition("?")
    return Request(method, path, query, target, headers, body, writer)


def head(answer, extra):
    lines = [f"HTTP/1.1 {answer.status} X"]
    lines += [f"{name}: {value}" for name, value in (*answer.headers, *extra)]
    return "\r\n".join((*lines, "", "")).encode("latin-1")


async def _answer(writer, answer):
    if answer.pieces is None:
        length = (("Content-Length", str(len(answer.body))),)
        writer.write(head(answer, length) + answer.body)
        await writer.drain()
        return
    writer.write(head(answer, (("Transfer-Encoding", "chunked"),)))
    async for piece in answer.pieces:
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve(handler, host, port=0):
    """Starts a server; returns it and its address."""

    async def on_connection(reader, writer):
        try:
            while (request := await read_request(reader, writer)) is not None:
                await _answer(writer, await handler(request))
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, backlog=512)
    address = server.sockets[0].getsockname()
    return server, f"{address[0]}:{address[1]}"
