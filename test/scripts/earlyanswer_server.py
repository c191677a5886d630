"""Upstreams that answer before they have read the request's body, or with an unusual head.

Usage: earlyanswer_server.py IP MODE...; prints "MODE PORT" for each and serves until its input ends. Paths
that end with /ok and health checks are answered properly. Other requests get BODY, or a part of it, as their
mode says; "part" is followed by a reset. Sockets receive little at once, so that an upload is still being
written when its answer comes. After "foreign" on standard input the program prints the number of connections
on which other bytes came where the rest of an upload was due.
"""
import re
import socket
import struct
import sys
import threading
import time

BODY = b"a" * 20000
PART_BYTES = 5000
RECEIVE_BYTES = 4096
PAUSE_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-response-seal: s\r\n"
LENGTH = b"content-length: %d\r\n" % len(BODY)
CHUNKED = b"transfer-encoding: chunked\r\n"
FRAMING = {"close": b"", "length": LENGTH, "chunked": CHUNKED}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
foreign = 0
twice = 0
seen = set()


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read_head(sock, data):
    """Returns path, id, length of the body and the bytes that follow the head; path None at the end."""
    while b"\r\n\r\n" not in data:
        part = sock.recv(RECEIVE_BYTES)
        if not part:
            return None, b"", 0, b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines[1:])}
    length = int(headers.get(b"content-length", b"0"))
    return lines[0].split(b" ")[1].decode(), headers.get(b"x-attempt-id", b""), length, rest


def read_body(sock, length, rest):
    """Reads the rest of the body; returns what follows it, None if the connection ended before."""
    global foreign
    while len(rest) < length:
        part = sock.recv(RECEIVE_BYTES)
        if not part:
            return None
        rest += part
        if part[: max(0, length - len(rest) + len(part))].strip(b"u"):
            foreign += 1
            return None
    return rest[length:]


def framed(framing, body):
    return b"%x\r\n" % len(BODY) + body if framing == "chunked" else body


def answer_early(sock, mode, path, rid, length, rest):
    """Answers an upload that was not read; returns the bytes that follow it, None after the end."""
    kind, _, framing = mode.partition("-")
    head = HEAD % rid + FRAMING.get(framing, b"") + b"\r\n"
    if kind == "exact":  # fills buffers of a multiple of 4096 bytes
        size = 4096 * (int(path.rsplit("-", 1)[1]) % 4 + 1)
        sock.sendall((head + BODY)[:size])
        reset(sock)
    elif kind in ("part", "late"):
        sock.sendall(head + framed(framing, BODY[:PART_BYTES]))
        if kind == "late":
            time.sleep(PAUSE_S)
        reset(sock)
    elif kind == "unread":  # the close becomes a reset, since bytes of the upload wait
        sock.sendall(head + BODY)
        time.sleep(PAUSE_S)
        sock.close()
    elif kind == "cut":
        sock.sendall(head + framed(framing, BODY[:PART_BYTES]))
        sock.shutdown(socket.SHUT_WR)
        read_body(sock, length, rest)
    elif kind == "reads":
        sock.sendall(head + BODY)
        sock.shutdown(socket.SHUT_WR)
        read_body(sock, length, rest)
    elif kind == "slow":
        sock.sendall(head + BODY)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(RECEIVE_BYTES):
            time.sleep(2 * PAUSE_S)
    elif kind == "keeps":
        sock.sendall(head + BODY)
        time.sleep(PAUSE_S)
        return read_body(sock, length, rest)
    return None


def answer_oddly(sock, mode, rid):
    """Writes an answer with the status or the interim answers that the mode names."""
    whole = HEAD % rid + LENGTH + b"\r\n" + BODY
    kind, _, detail = mode.partition("-")
    if kind == "status":
        sock.sendall(whole.replace(b"200", detail.encode(), 1))
    elif detail == "before":
        sock.sendall(INTERIM + INTERIM.replace(b"100", b"103") + whole)
    elif detail == "many":
        sock.sendall(INTERIM * 100 + whole)
    elif detail == "alone":
        sock.sendall(INTERIM)
        return False
    elif detail == "body":  # the answer itself as an interim one with a length
        sock.sendall(whole.replace(b"200 OK", b"100 Continue", 1))
        return False
    elif detail == "within":
        sock.sendall(whole[:-100] + INTERIM)
        return False
    elif detail == "after":
        sock.sendall(whole)
        time.sleep(PAUSE_S)
        sock.sendall(INTERIM)
    return True


def serve(mode, sock):
    global twice
    rest = b""
    try:
        while rest is not None:
            path, rid, length, rest = read_head(sock, rest)
            if path is None:
                break
            twice += path in seen
            if path == "/health" or path.endswith("/ok"):
                rest = read_body(sock, length, rest)
                name = b"x-instance-id: u-%s\r\n" % mode.encode()
                sock.sendall(HEAD % rid + name + LENGTH + b"\r\n" + BODY)
                continue
            seen.add(path)
            if re.match("status|interim", mode):
                rest = read_body(sock, length, rest)
                if not answer_oddly(sock, mode, rid):
                    break
            else:
                rest = answer_early(sock, mode, path, rid, length, rest)
    except OSError:
        pass
    sock.close()


def accept(mode, listener):
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(mode, sock), daemon=True).start()


for name in sys.argv[2:]:
    port = socket.socket()
    port.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    port.bind((sys.argv[1], 0))
    port.listen(128)
    threading.Thread(target=accept, args=(name, port), daemon=True).start()
    print(name, port.getsockname()[1], flush=True)
for line in sys.stdin:
    if line.strip() == "counts":
        print(foreign, twice, flush=True)
