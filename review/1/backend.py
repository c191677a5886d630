"""A backend that writes answers without a length, block by block, one connection at a time.

Usage: backend.py FD-OF-LISTENER ID RECORD START TROUBLE SEED. It is in trouble while the file TROUBLE exists. The body follows from the attempt id, see body_of().
"""
import hashlib
import os
import random
import socket
import struct
import sys
import time

ANSWER_BYTES = 40000         # head and body
BLOCK = 4096
WORK_S = 0.01
BROKEN_EACH = 20             # one answer in so many: `garble` with how = "unframed", x = 0.05


def answer_to(ident, attempt):
    head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {ident}\r\n"
            f"X-Response-Seal: seal-{attempt}\r\nConnection: close\r\n\r\n").encode()
    body = hashlib.sha256(attempt.encode()).hexdigest() * (ANSWER_BYTES // 64 + 1)
    return head, body.encode()[:ANSWER_BYTES - len(head)]


def serve(conn, ident, record, counted, trouble, rng):
    data = b""
    while b"\r\n\r\n" not in data or not data.endswith(b"\r\n\r\nx"):
        part = conn.recv(65536)
        if not part:
            return
        data += part
    lines = data.decode("latin1").split("\r\n")
    headers = {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines[1:])}
    attempt = headers.get("x-attempt-id", "")
    answer = b"".join(answer_to(ident, attempt))
    blocks = 1 << rng.randrange(4)
    time.sleep(WORK_S)
    if os.path.exists(trouble):
        counted.append(attempt)
    if not counted or len(counted) % BROKEN_EACH or counted[-1] != attempt:
        record(f"{ident} runs {attempt} {lines[0].split(' ')[1]}")
        conn.sendall(answer)
        return
    record(f"{ident} runs {attempt} {lines[0].split(' ')[1]}, answer reset after {blocks * BLOCK} bytes")
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    part = answer[:blocks * BLOCK]
    conn.send(part)
    conn.close()  # resets the connection


def main():
    fd, ident, path, start, trouble, seed = sys.argv[1:]
    listener = socket.socket(fileno=int(fd))
    rng = random.Random(int(seed))
    counted = []  # attempts answered while in trouble
    with open(path, "a", buffering=1, encoding="utf-8") as out:
        def record(text):
            out.write(f"{time.monotonic() - float(start):9.3f} {text}\n")
        while True:
            conn, _ = listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                serve(conn, ident, record, counted, trouble, rng)
            except OSError as e:
                record(f"{ident}: {e}")
            conn.close()


if __name__ == "__main__":
    main()
