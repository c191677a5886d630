"""Upstream "u1" of a keyed service that sends a second copy of an answer late, on a connection in use again.

Usage: latecopy_server.py IP; prints its port and serves until its input ends. Accepts every grant, and names
itself in answers to health checks. Answers the first request with each path as not run (421); a request with
that path that follows on the same connection gets a copy of that answer first, and then is run and answered.
After "runs" on standard input the program prints the number of requests that it ran.
"""
import socket
import sys
import threading

NOT_RUN = b"HTTP/1.1 421 Misdirected Request\r\nx-attempt-id: %s\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
RUN = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-response-seal: s\r\ncontent-length: 3\r\n\r\nran"
GRANTED = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
HEALTHY = b"HTTP/1.1 200 OK\r\nx-instance-id: u1\r\ncontent-length: 2\r\n\r\nok"
seen = set()
runs = 0


def read_request(sock, data):
    """Returns the path, the id and the bytes that follow the request; path None at the end."""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None, b"", b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines[1:])}
    length = int(headers.get(b"content-length", b"0"))
    while len(rest) < length:
        rest += sock.recv(65536)
    return lines[0].split(b" ")[1], headers.get(b"x-attempt-id", b""), rest[length:]


def serve(sock):
    global runs
    refused = None  # path of the last request on this connection that was refused
    rest = b""
    try:
        while True:
            path, rid, rest = read_request(sock, rest)
            if path is None:
                break
            if not path.startswith(b"/order/"):
                sock.sendall(HEALTHY if path == b"/health" else GRANTED)
                continue
            if path not in seen:
                seen.add(path)
                refused = path
                sock.sendall(NOT_RUN % rid)
                continue
            runs += 1
            if path == refused:
                sock.sendall(NOT_RUN % rid)
            sock.sendall(RUN % rid)
    except OSError:
        pass
    sock.close()


listener = socket.socket()
listener.bind((sys.argv[1], 0))
listener.listen(128)
print(listener.getsockname()[1], flush=True)


def accept():
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


threading.Thread(target=accept, daemon=True).start()
for line in sys.stdin:
    if line.strip() == "runs":
        print(runs, flush=True)
