"""Stand-in for the operators' ports of routers, with one listening port for each mode of answering.

Prints "MODE PORT" for each mode and serves until its standard input ends. The modes good, busy and
loses-answers are HTTP servers, those in RAW send fixed bytes, silent never answers, and closed refuses
connections.
"""
import http.server
import json
import socket
import sys
import threading

CREDENTIAL = "Bearer credential-of-the-test"
RAW = {  # mode: bytes sent after the first read
    "garbage": b"\x00\x01 this is not HTTP\r\n\r\n",
    "truncated": b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{}",
    "too-long": b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n{}",
    "not-json": b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "chunk-cut": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\n{}",
    "closes": b"",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Config-Version:  9 \r\n\r\n"
    b"9\r\nregions: \r\n3\r\n[]\n\r\n0\r\n\r\n",
}
STATUS = {
    "id": "r1", "region": "meseta", "failure_domain": "meseta-a", "config_version": 6,
    "cell_version": 2, "member": True, "draining": False,
    "alarms": [{"alarm": "upstream-lost", "detail": "history-01"}],
    "routers": [
        {"id": "r1", "failure_domain": "meseta-a", "config_version": 6, "connected": True},
        {"id": "r2", "failure_domain": "meseta-b", "config_version": 5, "connected": True},
        {"id": "r3", "failure_domain": "meseta-b", "config_version": 4, "connected": False},
    ],
    "services": [
        {"service": "history", "broker": "r1", "here": True, "moves": 2, "queued": 1,
         "upstreams": [{"id": "history-01", "state": "lost", "in_use": 1, "limit": 2,
                        "queued": 0, "service_p50_ms": 7}]},
        {"service": "orders", "broker": "", "here": False},
    ],
}

lock = threading.Lock()
done = {}  # plan: configuration version that it created
status_requests = 0


class Router(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    mode = "good"

    def log_message(self, *args):
        pass

    def answer(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def deny_without_credential(self):
        """Answers 401 and returns True if the request lacks the right credential."""
        if self.headers.get("authorization") == CREDENTIAL:
            return False
        self.answer(401, {"error": "the credential is wrong", "remedy": "use another"})
        return True

    def do_GET(self):
        global status_requests
        if self.deny_without_credential():
            return
        if self.path == "/status":
            status = json.loads(json.dumps(STATUS))
            with lock:
                status_requests += 1
                if done and status_requests > 3:  # so that --wait sees an unfinished change first
                    status["routers"][1]["config_version"] = 6
                    status["services"][0]["moves"] = 0
            self.answer(200, status)
        elif self.path == "/config":
            self.answer(200, b"regions: []\n", [("x-config-version", "6")])
        elif self.path.startswith("/events?"):
            self.answer(200, json.dumps({"path": self.path}).encode() + b"\n")
        else:
            self.answer(404, {"error": "no such call", "remedy": "see the list"})

    def do_POST(self):
        body = self.rfile.read(int(self.headers["content-length"]))
        if self.deny_without_credential():
            return
        request = json.loads(body)
        if self.path == "/plan":
            self.plan(request)
        else:
            self.confirm(request)

    def plan(self, request):
        refused = "meseta-b" in request["intent"]
        self.answer(200, {
            "plan": "00000000000000aa", "version": 5, "refused": refused,
            "refusal": "P3 would break; bring meseta-a back first" if refused else "",
            "text": "plan of: %s\nfile: %s\n" % (request["intent"], request["yaml"].strip())})

    def confirm(self, request):
        plan = request["plan"]
        if self.mode == "busy":
            return self.answer(503, {"error": "the store is down", "remedy": "repeat later"})
        with lock:
            if plan in done:
                return self.answer(200, {"result": "already-done", "version": done[plan]})
            if request["version"] != 5:
                return self.answer(409, {"error": "bea changed it", "remedy": "plan again"})
            done[plan] = 6
        if self.mode == "loses-answers":
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return None
        return self.answer(200, {"result": "done", "version": 6})


def serve_raw(listener, data):
    while True:
        conn, _ = listener.accept()
        conn.recv(65536)
        conn.sendall(data)
        conn.close()


def main():
    for mode in ("good", "busy", "loses-answers"):
        handler = type(mode, (Router,), {"mode": mode})
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        print(mode, server.server_address[1])
    for mode, data in RAW.items():
        listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=serve_raw, args=(listener, data), daemon=True).start()
        print(mode, listener.getsockname()[1])
    # Never accepted: the kernel completes connections, which then get no answer.
    silent = socket.create_server(("127.0.0.1", 0))
    print("silent", silent.getsockname()[1])
    # Bound but not listening: connections are refused.
    closed = socket.socket()
    closed.bind(("127.0.0.1", 0))
    print("closed", closed.getsockname()[1])
    sys.stdout.flush()
    sys.stdin.read()


main()
