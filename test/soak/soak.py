#!/usr/bin/env python3
"""Randomized fault soak of the gateways on a platform's stand-ins.

Starts real programs on addresses of its own under 127.0.0.0/8, sends requests, injects faults from
outside (signals, a proxy on every link to store and upstreams, switches of the store) and compares
what callers got with what the upstreams wrote down. Ends only processes that it started.

  test/soak/soak.py --seed N [--seconds S] [--gateways G] [--keep]

The last line is "seed N: R requests, A answered, V violations"; exit code 1 if V is not 0.
"""
import argparse
import collections
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from proxy import Proxy

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEYS = [5, 6, 7, 900, 30000, 30001, 48000, 65535]
DEADLINE_S = 2.5
# Two owners may overlap this long: what the callers' clocks and the ledgers' order cannot tell.
OVERLAP_MS = 20
RECOVERY_S = 30


def now_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class Process:
    def __init__(self, soak, name, argv):
        self.soak, self.name, self.argv = soak, name, argv
        self.popen = None
        self.paused = False

    def start(self):
        if self.popen and self.popen.poll() is None:
            return  # another fault has started it already
        log = open(os.path.join(self.soak.work, self.name + ".log"), "ab")
        self.popen = subprocess.Popen(self.argv, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.paused = False

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def pause(self, on):
        self.paused = on
        self.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self):
        """Planned stop; killed after the grace."""
        if self.paused:
            self.pause(False)
        self.signal(signal.SIGTERM)
        try:
            self.popen.wait(7)
        except subprocess.TimeoutExpired:
            self.kill()


class Soak:
    def __init__(self, options):
        self.rnd = random.Random(options.seed)
        self.options = options
        self.work = tempfile.mkdtemp(prefix="bamboocroft-soak-")
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (80 + (pid >> 16 & 31), pid >> 8 & 255, pid & 255)
        self.next_port = 21001
        self.processes, self.proxies = {}, {}
        self.records, self.lock = [], threading.Lock()
        self.stopping = threading.Event()
        self.version = 5
        self.events = []

    # ---- deployment ----

    def address(self):
        self.next_port += 1
        return "%s:%d" % (self.ip, self.next_port)

    def program(self, name):
        return os.path.join(self.options.bin, name)

    def run(self, name, *argv):
        p = self.processes[name] = Process(self, name, list(argv))
        p.start()
        return p

    def proxy(self, name, target):
        p = self.proxies[name] = Proxy(self.address(), target)
        p.start()
        return p

    def post(self, address, path, body):
        host, port = address.split(":")
        c = http.client.HTTPConnection(host, int(port), timeout=20)
        c.request("POST", path, body)
        c.getresponse().read()
        c.close()

    def control(self, **switches):
        self.post(self.store_control, "/control", json.dumps(switches))

    def put(self, table, key, value):
        self.post(self.store_control, "/put?table=%s&key=%s" % (table, key), json.dumps(value))

    def drop(self, table, key):
        self.post(self.store_control, "/drop?table=%s&key=%s" % (table, key), "")

    def config(self):
        route = lambda name, kind, service: {
            "name": name, "prefix": "/%s/" % name, "kind": kind, "timeout": "2500ms",
            "target-latency": "1500ms", "priority": 1, "service": service, "max-attempts": 2,
            "allowed-regions": []}
        routes = [route("look", "safe", "keys"), route("write", "unsafe", "keys"),
                  route("read", "safe", "plain"), route("order", "unsafe", "plain")]
        routes += [route("more%d" % i, "safe", "plain") for i in range(self.version % 3)]
        service = lambda name, keyed: {"name": name, "health-path": "/health",
                                       "max-connections": 100, "shard-enabled": keyed}
        self.put("op", "config", {
            "version": "%08x" % self.version,
            "services": [service("keys", True), service("plain", False)],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000000,
                       "header-timeout": "3000ms", "idle-timeout": "15000ms"},
            "virtual-hosts": [{"host": "h.example", "path-routes": routes}]})
        self.version += 1

    def register(self, name, state="ready"):
        u = self.upstreams[name]
        self.put("servers", name, {
            "service": u["service"], "address": self.proxies[name].address, "zone": u["zone"],
            "version": "v1", "slots": 2, "state": state, "warmup-left": "0ms", "sequence": 1,
            "born": u["born"]})

    def start_upstream(self, name):
        u = self.upstreams[name]
        u["born"] = int(time.time() * 1000)
        argv = [self.program("standin-keyed"), "--listen", u["address"], "--control",
                u["control"], "--id", name, "--ledger", os.path.join(self.work, name + ".ledger")]
        self.run(name, *(argv + (["--keyed"] if u["service"] == "keys" else [])))

    def settings(self, i):
        zone = "d%d" % (1 + i % 2)
        text = """node-name=g%d
ip=%s
zone=%s
region=r%s
zones.d1=r1
zones.d2=r2
listen.front=%s
listen.ready=%s
internal-ports=%s,65000
heartbeat=500ms
bounds=drain=2000ms,grace=6s,retry-budget-ratio=0.2,retry-budget-slack=60,hold-max=10000ms
platform.address=%s
""" % (i, self.ip, zone, zone[1], self.fronts[i], self.address(),
            self.address().split(":")[1], self.proxies["store-g%d" % i].address)
        path = os.path.join(self.work, "g%d.conf" % i)
        with open(path, "w") as f:
            f.write(text)
        return path

    def start_all(self):
        store, self.store_control = self.address(), self.address()
        self.run("store", self.program("standin-rowstore"), "--listen", store, "--control",
                 self.store_control)
        self.upstreams, self.fronts = {}, []
        for i in range(8):
            self.upstreams["u%d" % i] = {
                "service": "keys" if i < 5 else "plain", "zone": "d%d" % (1 + i % 2),
                "address": self.address(), "control": self.address(), "born": 0}
        for name in self.upstreams:
            self.start_upstream(name)
            self.proxy(name, self.upstreams[name]["address"])
        self.wait_listening([store, self.store_control] +
                            [u["address"] for u in self.upstreams.values()])
        self.config()
        for name in self.upstreams:
            self.register(name)
        for i in range(self.options.gateways):
            self.fronts.append(self.address())
            self.proxy("store-g%d" % i, store)
            self.run("g%d" % i, self.program("bamboocroft-gateway"), "--settings",
                     self.settings(i))

    def wait_listening(self, addresses):
        for address in addresses:
            host, port = address.split(":")
            until = time.time() + 60
            while True:
                try:
                    socket.create_connection((host, int(port)), 1).close()
                    break
                except OSError:
                    if time.time() > until:
                        raise RuntimeError("nothing listens on " + address)
                    time.sleep(0.05)

    # ---- callers ----

    def ask(self, rnd, number):
        kind = rnd.choice(["look", "write", "read", "order"])
        gateway = rnd.randrange(self.options.gateways)
        host, port = self.fronts[gateway].split(":")
        record = {"id": "s%d-%s" % (self.options.seed, number), "kind": kind, "status": 0,
                  "gateway": "g%d" % gateway, "at": now_ms()}
        path = "/%s/%s" % (kind, record["id"])
        headers = {"host": "h.example", "x-attempt-id": record["id"],
                   "x-time-remaining": str(int(DEADLINE_S * 1000))}
        if kind in ("look", "write"):
            headers["x-shard-key"] = str(rnd.choice(KEYS))
        c = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_S + 2)
        try:
            c.request("GET" if kind in ("look", "read") else "POST", path,
                      None if kind in ("look", "read") else "x" * rnd.choice([1, 300, 60000]),
                      headers)
            answer = c.getresponse()
            body = answer.read().decode()
            record["status"] = answer.status
            record["whole"] = (body.endswith(" ran %s\n" % path) and
                               answer.getheader("x-attempt-id") == record["id"] and
                               answer.getheader("x-response-seal") == "sealed")
        except (OSError, http.client.HTTPException) as e:
            record["error"] = type(e).__name__
        c.close()
        with self.lock:
            self.records.append(record)
        return record

    def caller(self, number):
        rnd = random.Random(self.options.seed * 1000 + number)
        n = 0
        while not self.stopping.is_set():
            n += 1
            record = self.ask(rnd, "%d-%d" % (number, n))
            time.sleep(0.05 if record["status"] in (0, 503) else 0.01 * rnd.random())

    # ---- faults ----

    def note(self, what):
        self.events.append((now_ms(), what))

    def later(self, seconds, action, *args):
        t = threading.Timer(seconds, action, args)
        t.daemon = True
        t.start()
        self.timers.append(t)

    def restart_upstream(self, name):
        self.processes[name].kill()
        self.start_upstream(name)
        self.register(name)

    def fault(self):
        """Starts one fault; it ends by itself within a few seconds, beside others."""
        r = self.rnd
        for_s = r.choice([0.2, 0.7, 1.5, 3.0])
        gateway = "g%d" % r.randrange(self.options.gateways)
        upstream = r.choice(sorted(self.upstreams))
        link = r.choice(sorted(self.proxies))
        kind = r.choice(["pause-gateway", "kill-gateway", "stop-gateway", "kill-all",
                         "pause-upstream", "kill-upstream", "silent-death", "drain", "evacuate",
                         "link-delay", "link-reset", "link-silent", "link-oneway", "link-silent",
                         "store-refuse", "store-hang", "store-lose", "store-trim", "store-down",
                         "config", "reload", "shed", "drop-answers"])
        self.note("%s %s %s %s %.1f s" % (kind, gateway, upstream, link, for_s))
        p = self.processes
        if kind == "pause-gateway":
            p[gateway].pause(True)
            self.later(for_s, p[gateway].pause, False)
        elif kind == "kill-gateway":
            p[gateway].kill()
            self.later(for_s, p[gateway].start)
        elif kind == "stop-gateway":
            self.later(0, lambda: (p[gateway].stop(), p[gateway].start()))
        elif kind == "kill-all":
            for i in range(self.options.gateways):
                p["g%d" % i].kill()
                self.later(for_s, p["g%d" % i].start)
        elif kind == "pause-upstream":
            p[upstream].pause(True)
            self.later(for_s, p[upstream].pause, False)
        elif kind == "kill-upstream":
            p[upstream].kill()
            self.drop("servers", upstream)
            self.later(for_s, self.restart_upstream, upstream)
        elif kind == "silent-death":
            self.restart_upstream(upstream)  # a new process at once, under the same id
        elif kind == "drain":
            self.register(upstream, "draining")
            self.later(for_s + 1, self.register, upstream)
        elif kind == "evacuate":
            self.put("op", "evacuate/d1", {})
            self.later(for_s, self.drop, "op", "evacuate/d1")
        elif kind.startswith("link-"):
            self.proxies[link].fault(kind[5:])
            self.later(for_s, self.proxies[link].heal)
        elif kind == "store-refuse":
            self.control(refuse=r.choice([503, 429]))
            self.later(for_s, lambda: self.control(refuse=0))
        elif kind == "store-hang":
            self.control(hang=True)
            self.later(for_s, lambda: self.control(hang=False))
        elif kind == "store-lose":
            self.control(lose_answers=r.randrange(1, 5))
        elif kind == "store-trim":
            self.control(trim=True)
        elif kind == "store-down":
            for name in sorted(self.proxies):
                if name.startswith("store-"):
                    self.proxies[name].fault("silent")
                    self.later(for_s, self.proxies[name].heal)
        elif kind == "config":
            self.config()
        elif kind == "reload":
            p[gateway].signal(signal.SIGHUP)
        else:
            self.post(self.upstreams[upstream]["control"], "/control",
                      json.dumps({kind.replace("-", "_"): r.randrange(1, 4)}))

    def guarded_fault(self):
        try:
            self.fault()
        except (OSError, http.client.HTTPException) as e:
            self.note("not injected: %s" % e)  # its process is down or paused by another fault

    def heal_all(self):
        for t in self.timers:
            t.join(15)
        self.control(refuse=0, hang=False, lose_answers=0)
        self.drop("op", "evacuate/d1")
        for name, p in sorted(self.processes.items()):
            if p.paused:
                p.pause(False)
            if p.popen.poll() is not None:
                p.start()
        for proxy in self.proxies.values():
            proxy.heal()
        for name in self.upstreams:
            self.register(name)
        self.note("healed")

    # ---- checks ----

    def read_ledgers(self):
        """Runs by request id, and for each upstream its lives as lists of lines."""
        runs, lives = collections.defaultdict(list), []
        for name in sorted(self.upstreams):
            with open(os.path.join(self.work, name + ".ledger")) as f:
                for line in f:
                    words = line.split()
                    if words[0] == "start":
                        lives.append((name, []))
                    if words[0] == "run":
                        runs[words[2]].append((name, words[3]))
                    lives[-1][1].append(words)
        return runs, lives

    def check_requests(self, runs):
        bad = []
        asked = {}
        for r in self.records:
            asked[r["id"]] = r
            once = r["kind"] in ("write", "order")
            ran = runs.get(r["id"], [])
            if once and len(ran) > 1:
                bad.append("%s ran %d times" % (r["id"], len(ran)))
            if r["status"] in (408, 421, 429, 503) and once and ran:
                bad.append("%s was answered %d and ran" % (r["id"], r["status"]))
            if r["status"] == 200 and (not r["whole"] or not ran):
                bad.append("%s got an answer that is not its own" % r["id"])
            if r["status"] in (400, 401, 403, 404, 413, 431):
                bad.append("%s was denied with %d" % (r["id"], r["status"]))
        for request_id, where in runs.items():
            if request_id not in asked:
                bad.append("%s ran and was not asked" % request_id)
            elif not where[0][1].endswith(request_id):
                bad.append("%s ran with the path %s" % (request_id, where[0][1]))
        return bad

    def check_owners(self, lives):
        """No two processes hold a key at a time and begin requests on it; fences only rise."""
        bad = []
        for key in KEYS:
            holds, grants = [], []
            for life, (name, lines) in enumerate(lives):
                hold = None
                for w in lines:
                    if w[0] in ("grant", "release") and int(w[2]) <= key <= int(w[3]):
                        at = int(w[1])
                        if hold and at < hold[1]:
                            hold[1] = at if w[0] == "release" else hold[1]
                        if w[0] == "grant":
                            grants.append((at, int(w[4]), life, name))
                            if hold and at <= hold[1]:
                                hold[1] = max(hold[1], int(w[5]))
                            else:
                                hold = [at, int(w[5]), [], life, name]
                                holds.append(hold)
                    if w[0] == "run" and len(w) > 4 and int(w[4]) == key and hold:
                        hold[2].append(int(w[1]))
            for a in holds:
                for b in holds:
                    start, end = max(a[0], b[0]), min(a[1], b[1])
                    if a[3] >= b[3] or end - start <= OVERLAP_MS or a[4] == b[4]:
                        continue
                    if all(any(start <= t <= end for t in h[2]) for h in (a, b)):
                        bad.append("key %d is held by %s and %s from %d to %d" %
                                   (key, a[4], b[4], start, end))
            highest = (0, -1, "")
            for at, fence, life, name in sorted(grants):
                if life != highest[1] and fence <= highest[0]:
                    bad.append("key %d went to %s at %d with fence %d after %s with %d" %
                               (key, name, at, fence, highest[2], highest[0]))
                if fence > highest[0]:
                    highest = (fence, life, name)
        return bad

    def check_programs(self):
        bad = []
        for name in sorted(self.processes):
            with open(os.path.join(self.work, name + ".log"), errors="replace") as f:
                text = f.read()
            if "Sanitizer" in text or "runtime error" in text:
                bad.append("%s: sanitizer report in its log" % name)
        return bad

    def serves(self):
        """Every gateway answers every kind of request."""
        rnd = random.Random(self.options.seed)
        self.probes = getattr(self, "probes", 0) + 1
        for n in range(8 * self.options.gateways):
            if self.ask(rnd, "end-%d-%d" % (self.probes, n))["status"] != 200:
                return False
        return True

    # ---- run ----

    def play(self):
        self.timers = []
        self.start_all()
        self.wait_listening(self.fronts)
        until = time.time() + 60
        while not self.serves():
            if time.time() > until:
                return ["the deployment does not serve before any fault"]
            time.sleep(0.2)
        callers = [threading.Thread(target=self.caller, args=(i,)) for i in range(6)]
        for t in callers:
            t.start()
        end = time.time() + self.options.seconds
        while time.time() < end:
            for _ in range(self.rnd.choice([1, 1, 1, 2, 3])):
                self.guarded_fault()
            time.sleep(self.rnd.choice([0.1, 0.5, 1.0, 2.0]))
        self.heal_all()
        time.sleep(1)
        self.stopping.set()
        for t in callers:
            t.join()
        bad = []
        until = time.time() + RECOVERY_S
        while not self.serves():
            if time.time() > until:
                bad.append("requests are not served %d s after the last fault" % RECOVERY_S)
                break
            time.sleep(0.5)
        return bad

    def end(self):
        for p in self.processes.values():
            if p.popen and p.popen.poll() is None:
                p.pause(False)
                p.signal(signal.SIGTERM)
        for p in self.processes.values():
            try:
                p.popen.wait(10)
            except subprocess.TimeoutExpired:
                p.kill()
        for proxy in self.proxies.values():
            proxy.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--bin", default=os.path.join(ROOT, "build/san/bin"))
    parser.add_argument("--keep", action="store_true", help="keep the logs of a good run, too")
    options = parser.parse_args()
    soak = Soak(options)
    try:
        bad = soak.play()
    finally:
        soak.end()
    runs, lives = soak.read_ledgers()
    bad += soak.check_requests(runs) + soak.check_owners(lives) + soak.check_programs()
    for line in bad:
        print("violation:", line)
    answered = sum(r["status"] == 200 for r in soak.records)
    if bad or options.keep:
        with open(os.path.join(soak.work, "events"), "w") as f:
            f.writelines("%d %s\n" % e for e in soak.events)
        with open(os.path.join(soak.work, "records"), "w") as f:
            f.writelines(json.dumps(r) + "\n" for r in soak.records)
        print("logs: %s" % soak.work)
    else:
        shutil.rmtree(soak.work)
    print("seed %d: %d requests, %d answered, %d violations" %
          (options.seed, len(soak.records), answered, len(bad)))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
