"""Upstream of a service without keys whose answers break off in the head, or come after a copy of an
earlier refusal.

Usage: faulty_server.py IP; prints its port and serves until its input ends.
/order/cut-length-N, /order/cut-close-N: sends the answer's head without its last N bytes and closes; the
head has a content-length or, with "close", none.
/order/refuse-N: refused as not run. /order/after-id-N, /order/after-none-N: run, and the answer follows a
copy of the refusal that was sent before on the same connection, with its id or without an id.
Other requests are answered. "runs" on standard input prints the number of requests that ran, and of copies.
"""
import socket
import sys
import threading

ANSWER = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-response-seal: s\r\n%s\r\n"
LENGTH = b"content-length: 3\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\n%sx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
ID = b"x-attempt-id: %s\r\n"
runs = 0
copies = 0


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


def answer(sock, path, rid, refused):
    """Answers one request; returns the id of the last refusal on the connection, None to close it."""
    global runs, copies
    name = path.rsplit(b"/", 1)[1]
    if name.startswith(b"refuse-"):
        sock.sendall(REFUSAL % (ID % rid))
        return rid
    runs += 1
    if name.startswith(b"cut-"):
        _, kind, count = name.split(b"-")
        head = ANSWER % (rid, LENGTH if kind == b"length" else b"")
        sock.sendall(head[:-int(count)])
        return None
    if name.startswith(b"after-") and refused:
        copies += 1
        sock.sendall(REFUSAL % (ID % refused if name.startswith(b"after-id-") else b""))
    sock.sendall(ANSWER % (rid, LENGTH) + b"ran")
    return refused


def serve(sock):
    refused = b""
    rest = b""
    try:
        while refused is not None:
            path, rid, rest = read_request(sock, rest)
            if path is None:
                break
            refused = answer(sock, path, rid, refused)
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
        print(runs, copies, flush=True)
