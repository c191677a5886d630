"""Upstreams whose answers do not end, one listening port for each mode; serves until its input ends.

Usage: endless_server.py IP MODE...; prints "MODE PORT" for each. Answers echo the request id. The
mode "large" is a healthy upstream with answers of 24 MiB. Modes that begin with "keyed" take grants
and requests, with empty answers; those that begin with "keyed-bad" only until "endless" is read from
standard input. After "bytes" there, the program prints the number of bytes written by each mode.
"""
import socket
import sys
import threading
import time

LARGE_BYTES = 24 << 20
LENGTH_BYTES = 30 << 20
BLOCK = b"x" * 65536
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: %s\r\n"
written = {}
endless = threading.Event()


def request_id(sock):
    """Reads a request head and returns its id, None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    for line in data.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-attempt-id":
            return value.strip()
    return b"none"


def blocks(mode, head):
    """Yields the bytes of an answer; all modes but "large" and sound keyed ones never end."""
    if mode.startswith("keyed") and not (mode.startswith("keyed-bad") and endless.is_set()):
        yield head + b"x-instance-id: u-%s\r\ncontent-length: 0\r\n\r\n" % mode.encode()
        return
    if mode == "head":
        yield head
        while True:
            yield b"x-filler: " + b"y" * 4000 + b"\r\n"
    if mode == "large":
        yield head + b"transfer-encoding: chunked\r\n\r\n"
        for _ in range(LARGE_BYTES // len(BLOCK)):
            yield CHUNK
        yield b"0\r\n\r\n"
        return
    if mode == "length":  # goes on after the announced length
        yield head + b"content-length: %d\r\n\r\n" % LENGTH_BYTES
    elif mode == "close":
        yield head + b"\r\n"
    else:
        yield head + b"transfer-encoding: chunked\r\n\r\n"
    while True:
        if mode == "drops":
            time.sleep(0.05)
            yield b"1\r\nx\r\n"
        else:
            yield BLOCK if mode in ("close", "length") else CHUNK


def serve(mode, sock):
    """Answers the requests of one connection until the gateway closes it."""
    try:
        while (rid := request_id(sock)) is not None:
            for block in blocks(mode, HEAD % rid):
                sock.sendall(block)
                written[mode] += len(block)
    except OSError:
        pass
    sock.close()


def accept(mode, listener):
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(mode, sock), daemon=True).start()


for name in sys.argv[2:]:
    port = socket.socket()
    port.bind((sys.argv[1], 0))
    port.listen(128)
    written[name] = 0
    threading.Thread(target=accept, args=(name, port), daemon=True).start()
    print(name, port.getsockname()[1], flush=True)
for line in sys.stdin:
    if line.strip() == "endless":
        endless.set()
    if line.strip() == "bytes":
        print("written", *(f"{mode}={count}" for mode, count in written.items()), flush=True)
