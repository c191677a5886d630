#!/usr/bin/env python3
"""Sends malformed input to a gateway, drawn from a seed. Usage: fuzz_sender.py MODE SEED COUNT ...

peers SEED COUNT PROTO IP:PORT IP   frames of a peer: valid messages with extreme values, and damaged ones
claim SEED PROTO IP:PORT IP         a peer that says that it manages "keys", in a term that is made up, and
                                    that an upstream that does not exist owns all of them
callers SEED COUNT IP:PORT          damaged HTTP requests
rows SEED COUNT IP:PORT TABLE KEY   damaged forms of the row on standard input, to the store's control
upstream SEED IP                    serves HTTP on the port that it prints until standard input ends; half of
                                    the answers are damaged
"""
import random
import re
import select
import socket
import struct
import sys
import threading
import urllib.request
import zlib

TOKENS = [b"\0", b"-1", b"0", b"99999999999999999999999", b"1e400", b"null", b"[]", b"{}", b'"', b"\r\n", b"\n", b"\\u0000",
          b"\xff\xfe", b"true", b"%s%n", b"A" * 300, b":", b",", b"content-length: 5\r\n",
          b"transfer-encoding: chunked\r\n"]


def damage(r, text):
    """Returns the bytes with one to four random changes."""
    out = bytearray(text)
    for _ in range(r.randint(1, 4)):
        at = r.randrange(len(out) + 1)
        end = min(len(out), at + r.choice([1, 2, 4, 16, 64]))
        kind = r.randrange(5)
        if kind == 0 and out:
            out[at % len(out)] ^= 1 << r.randrange(8)
        elif kind == 1:
            del out[at:end]
        elif kind == 2:
            out[at:at] = out[at:end]
        elif kind == 3:
            out[at:at] = r.choice(TOKENS)
        else:
            out[at:end] = r.choice(TOKENS)
    return bytes(out[:r.randrange(len(out) + 1)] if r.randrange(10) == 0 else out)


class Messages:
    """Encodes random messages by a .proto file."""

    def __init__(self, r, path):
        self.r = r
        text = re.sub(r"//.*", "", open(path, encoding="utf-8").read())
        self.enums = set(re.findall(r"enum (\w+)", text))
        self.messages = {}
        for name, body in re.findall(r"message (\w+) \{((?:[^{}]|\{[^{}]*\})*)\}", text):
            self.messages[name] = [(kind, int(number), bool(repeated)) for repeated, kind, number in
                                   re.findall(r"(repeated\s+)?(\w+)\s+\w+\s*=\s*(\d+)\s*;", body)]

    def varint(self, value):
        out = bytearray()
        while value > 127:
            out.append(value & 127 | 128)
            value >>= 7
        out.append(value)
        return bytes(out)

    def number(self):
        r = self.r
        return r.choice([0, 1, 2, 3, 5, 100, 65535, 65536, 2**31 - 1, 2**31, 2**32 - 1, 2**63 - 1, 2**63, 2**64 - 1,
                         r.getrandbits(64), r.getrandbits(16)])

    def text(self):
        r = self.r
        return r.choice([b"", b"keys", b"plain", b"u1", b"u2", b"gateway-1", b"config", b"A" * 300, b"\xff\xfe", b"a\0b",
                         b"127.0.0.1:1 r1 500", zlib.compress(bytes(r.randrange(5000))), r.randbytes(r.randrange(40))])

    def field(self, kind, number, depth):
        if kind in self.messages:
            body = self.message(kind, depth + 1)
            return self.varint(number << 3 | 2) + self.varint(len(body)) + body
        if kind in ("string", "bytes"):
            body = self.text()
            return self.varint(number << 3 | 2) + self.varint(len(body)) + body
        if kind in ("fixed64", "double", "sfixed64"):
            return self.varint(number << 3 | 1) + struct.pack("<Q", self.number())
        if kind in ("fixed32", "float"):
            return self.varint(number << 3 | 5) + struct.pack("<I", self.number() & 0xffffffff)
        return self.varint(number << 3) + self.varint(self.number())

    def message(self, name, depth=0):
        out = b""
        for kind, number, repeated in self.messages[name]:
            times = self.r.choice([0, 1, 1, 1, 3]) if repeated else self.r.choice([0, 1, 1, 1])
            if depth < 5:
                out += b"".join(self.field(kind, number, depth) for _ in range(times))
        return out

    def frame(self, sender, body_kind, body_number, body):
        head = self.varint(1 << 3 | 1) + struct.pack("<Q", sender)
        return head + self.varint(body_number << 3 | 2) + self.varint(len(body)) + body


def length_delimited(number, text):
    return bytes([number << 3 | 2, len(text)]) + text


def with_length(frame):
    return struct.pack(">I", len(frame)) + frame


def hello(m, sender, ip):
    body = b"".join(length_delimited(n, t) for n, t in [(1, b"stranger"), (2, b"%x" % sender), (3, b"r1"), (4, b"d1"),
                                                        (5, ip.encode())])
    body += b"".join(m.varint(n << 3) + m.varint(9) for n in (6, 7, 8))
    return with_length(m.frame(sender, "Hello", 10, body))


def drain(sock):
    """Reads what has arrived; returns whether the connection is open."""
    sock.setblocking(False)
    try:
        while True:
            if not sock.recv(65536):
                return False
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.setblocking(True)


def connect(address):
    ip, port = address.rsplit(":", 1)
    return socket.create_connection((ip, int(port)), timeout=20)


def send_to_peer_port(r, count, proto, address, ip):
    m = Messages(r, proto)
    bodies = [f for f in m.messages["Frame"] if f[1] >= 11]
    sock = None
    for i in range(count):
        if sock is None:
            sender = r.getrandbits(63) | 1
            sock = connect(address)
            sock.sendall(hello(m, sender, ip))
        kind, number, _ = r.choice(bodies)
        frame = m.frame(sender, kind, number, m.message(kind))
        if i % 5 == 0:
            frame = damage(r, frame)
        try:
            sock.sendall(with_length(frame))
        except OSError:
            sock.close()
            sock = None
            continue
        # A damaged frame mostly ends the connection; frames sent after it would be lost.
        if i % 5 == 0:
            select.select([sock], [], [], 0.05)
        if not drain(sock):
            sock.close()
            sock = None


def claim_keys(r, proto, address, ip):
    m = Messages(r, proto)
    sender, term = 7, m.varint(2**64 - 1)
    with connect(address) as sock:
        sock.sendall(hello(m, sender, ip))
        role = length_delimited(1, b"keys") + m.varint(2 << 3) + term + m.varint(3 << 3) + m.varint(1)
        sock.sendall(with_length(m.frame(sender, "Pulse", 35, length_delimited(3, role))))
        keys = m.varint(2 << 3) + m.varint(65535) + m.varint(3 << 3 | 1) + struct.pack("<Q", 9)
        owners = length_delimited(1, b"keys") + m.varint(2 << 3) + term + m.varint(3 << 3) + m.varint(1)
        sock.sendall(with_length(m.frame(sender, "KeyMap", 34, owners + length_delimited(4, keys))))
        select.select([sock], [], [], 0.3)
        drain(sock)


def send_requests(r, count, address):
    good = [b"GET /read/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a\r\nx-time-remaining: 300\r\n\r\n",
            b"POST /order/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: b\r\nx-time-remaining: 300\r\n"
            b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            b"POST /order/2 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: c\r\ncontent-length: 5\r\n"
            b"x-shard-key: 7\r\nx-time-remaining: 300\r\nexpect: 100-continue\r\n\r\nhello"]
    for _ in range(count):
        sock = connect(address)
        try:
            sock.sendall(damage(r, r.choice(good)))
            if r.randrange(4) == 0:
                sock.settimeout(0.02)
                sock.recv(4096)
        except OSError:
            pass
        sock.close()


def send_rows(r, count, control, table, key):
    good = sys.stdin.buffer.read().strip()
    for i in range(count):
        value = damage(r, good)
        request = urllib.request.Request(f"http://{control}/put?table={table}&key={key}{i % 7 or ''}", data=value)
        urllib.request.urlopen(request, timeout=20).read()


def answer_requests(r, sock):
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return
        data += more
    match = re.search(rb"(?i)x-attempt-id: *([^\r]*)", data)
    found = match.group(1) if match else b"-"
    good = r.choice([
        b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-backend-load: 1,0,2,100\r\ncontent-length: 2\r\n\r\nok" % found,
        b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" % found])
    sock.sendall(good if r.randrange(2) else damage(r, good))


def serve(r, ip):
    listener = socket.create_server((ip, 0), backlog=500)
    print(listener.getsockname()[1], flush=True)
    lock = threading.Lock()

    def handle(sock):
        with sock:
            sock.settimeout(20)
            try:
                with lock:
                    own = random.Random(r.getrandbits(64))
                answer_requests(own, sock)
            except OSError:
                pass

    def accept():
        while True:
            threading.Thread(target=handle, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    sys.stdin.read()  # until the script ends


def main():
    mode, seed = sys.argv[1], int(sys.argv[2])
    r = random.Random(seed)
    if mode == "peers":
        send_to_peer_port(r, int(sys.argv[3]), *sys.argv[4:7])
    elif mode == "claim":
        claim_keys(r, *sys.argv[3:6])
    elif mode == "callers":
        send_requests(r, int(sys.argv[3]), sys.argv[4])
    elif mode == "rows":
        send_rows(r, int(sys.argv[3]), *sys.argv[4:7])
    elif mode == "upstream":
        serve(r, sys.argv[3])
    else:
        sys.exit(__doc__)


main()
