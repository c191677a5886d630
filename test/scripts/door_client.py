"""A crowd of callers that misbehave in one way at one address of a gateway.

Usage: door_client.py KIND IP:PORT PATH CALLERS PID LIMIT; prints one line on the process PID: whether its descriptors
stayed within LIMIT and whether it lives. A caller whose connection the gateway closes comes again. `server IP` serves as
upstream instead: it answers each request with 1 MiB and prints its port.
"""
import asyncio
import os
import sys
import time

SECONDS = 2  # how long a crowd sends; after that it only stays
STAY_SECONDS = 1
BODY = 1000000  # the largest body that the pages of the deployment allow
ANSWER_BYTES = 1 << 20
AHEAD = 300  # requests in one write
HEAD = b"%s %s HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a%d\r\nx-time-remaining: 3000\r\n"


def head(method, path, number, more=b""):
    return HEAD % (method, path, number) + more + b"\r\n"


def repeat(first, piece, count=None):
    """Yields `first`, then `piece` again and again."""
    yield first
    while count is None or count > 0:
        yield piece
        count = None if count is None else count - 1


def kind_bytes(kind, path, number):
    """Returns the pieces that a caller sends, the pause after each in seconds, and its way to read."""
    length = head(b"POST", path, number, b"content-length: %d\r\n" % BODY)
    chunked = head(b"POST", path, number, b"transfer-encoding: chunked\r\n")
    chunk = b"4000\r\n" + b"x" * 16384 + b"\r\n"
    kinds = {
        # Bodies of legal size that stop short of their end, and whole ones.
        "length": ([length, b"x" * (BODY - 1)], 0, "all"),
        "pieces": (repeat(length, b"x" * 999, 1000), 0.001, "all"),
        "chunked": (repeat(chunked, chunk, 60), 0, "all"),
        "bytes": (repeat(chunked, b"1\r\nx\r\n" * 1000, 990), 0, "all"),
        "whole": (repeat(b"", length + b"x" * BODY), 0, "all"),
        # Bodies far over the limit, announced or not.
        "over": ([head(b"POST", path, number, b"content-length: %d\r\n" % (100 * BODY)), b"x" * (20 * BODY)], 0, "all"),
        "overchunked": (repeat(chunked, chunk * 20), 0, "all"),
        "fields": (repeat(b"", head(b"GET", path, number, b"a:\r\n" * 4000)), 0, "all"),
        # Requests sent ahead: some hundred in one write, then more without end.
        "ahead": (repeat(b"", head(b"GET", path, number) * AHEAD), 0, "none"),
        "aheadbodies": (repeat(b"", head(b"POST", path, number, b"content-length: 9000\r\n") + b"x" * 9000), 0, "none"),
        "halfheads": ([head(b"GET", path, number, b"x-filler: " + b"y" * 15000)[:-8]], 0, "all"),
        "slowheads": ((bytes([b]) for b in head(b"GET", path, number) * 100), 0.01, "all"),
        "slowreaders": (repeat(b"", head(b"GET", path, number), 1), 0, "slow"),
    }
    return kinds[kind]


async def read(reader, way):
    if way == "none":
        await asyncio.sleep(SECONDS + STAY_SECONDS)
    while await reader.read(65536 if way == "all" else 1):
        if way == "slow":
            await asyncio.sleep(0.01)


async def send(writer, pieces, pause, end):
    for piece in pieces:
        if time.monotonic() > end:
            break
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    await asyncio.sleep(end + STAY_SECONDS - time.monotonic())


async def caller(kind, address, path, number, end):
    ip, port = address.split(":")
    while time.monotonic() < end:
        tasks = []
        writer = None
        try:
            pieces, pause, way = kind_bytes(kind, path, number)
            reader, writer = await asyncio.open_connection(ip, int(port), limit=4096)
            tasks = [asyncio.create_task(read(reader, way)), asyncio.create_task(send(writer, pieces, pause, end))]
            left = max(0, end + STAY_SECONDS - time.monotonic())
            await asyncio.wait(tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if writer:
            writer.transport.abort()
        await asyncio.sleep(0.02)


async def crowd(kind, address, path, callers, pid, limit):
    end = time.monotonic() + SECONDS
    tasks = [asyncio.create_task(caller(kind, address, path.encode(), n, end)) for n in range(callers)]
    most = 0
    alive = True
    while alive and not all(task.done() for task in tasks):
        try:
            most = max(most, len(os.listdir(f"/proc/{pid}/fd")))
        except OSError:
            alive = False
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print("lives," if alive else "ended,", "descriptors within the limit" if most <= limit else f"{most} descriptors")


async def serve(reader, writer):
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in lines if b": " in line)
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            writer.write(b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: %s\r\ncontent-length: %d\r\n\r\n" % (
                fields.get(b"x-attempt-id", b"none"), ANSWER_BYTES) + b"x" * ANSWER_BYTES)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def server(ip):
    listener = await asyncio.start_server(serve, ip, 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await listener.serve_forever()


if sys.argv[1] == "server":
    asyncio.run(server(sys.argv[2]))
else:
    asyncio.run(crowd(*sys.argv[1:4], *map(int, sys.argv[4:7])))
