"""Stand-ins and helpers shared by the review's cases: the platform, the change log, HTTP engines and JSON-RPC clients.

All addresses are loopback addresses. Times are Unix times in seconds, from the system's clock.
"""
import atexit
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
now = time.time


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def listen(port=0):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", port))
    s.listen(512)
    return s


def address_of(sock):
    host, port = sock.getsockname()
    return "%s:%d" % (host, port)


def reset(sock):
    """Closes the connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


class Record:
    """What was sent, answered and run, a line each, written to record.txt."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        with self.lock:
            self.file.write("%9.4f %s\n" % (now() - self.began, " ".join(str(w) for w in words)))
            self.file.flush()


def settings(**changes):
    """The settings of a small deployment: the example of the wire page, for its first site."""
    out = {
        "az": 0, "balancers": 1, "me": 0,
        "ceilings": {"cancel": True, "cpu-us-per-request": 0.0, "cpu-us-per-s": 96544, "dial-timeout": 250000000,
                     "idle-close": 30000000000, "max-attempts": 4, "max-retry-after": 500000000, "may-tell": False,
                     "most-held": 24136, "probing": True, "retry-after": True, "second-copies": True,
                     "streams-per-conn": 100},
        "classes": [
            {"aim": 400000000, "aim-stretch": 1.5, "credit": 1.0, "give-up": 2000000000, "group": "all",
             "late-share": 0.0, "name": "lookup", "semantics": "safe", "stream": False, "window": 5000000000},
            {"aim": 2000000000, "aim-stretch": 2.5, "credit": 15.0, "give-up": 20000000000, "group": "all",
             "late-share": 0.4, "name": "report", "semantics": "safe", "stream": False, "window": 5000000000},
            {"aim": 3000000000, "aim-stretch": 3.0, "credit": 20.0, "give-up": 25000000000, "group": "all",
             "in-order": True, "late-share": 0.6, "name": "load", "semantics": "keyed", "stream": False,
             "window": 15000000000}],
        "clients": {"marks-retry": True},
        "family-info": {"class-waits": [True, False, False], "cpu-of-kind": [8], "grants": True,
                        "loads": [False, False, True], "max-grant-share": 0.4, "out-of-memory": "overcommit",
                        "progress-pace": 0, "ram-of-kind-mb": [16384.0], "takes-priority": True, "tells-cost": True,
                        "width-by-class": [1, 4, 2]},
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.1},
        "kinds": ["std-8"], "membership-mode": "pushed", "over-share-worth": 0.1,
        "prices": {"late-fail": 0.08, "peer": 0.01, "probe": 0.01, "waste": 0.05},
        "report": {"fields": ["pending", "x1", "x0"], "how": "pull"},
        "safety": {"ask-within": 10000000000, "cold-from": 0.33, "drain-grace": 500000000, "fall": 1000000000,
                   "grace-to-answer": 20000000, "ramp-time": 15000000000, "tip-multiple": 2.5, "turn-gap": 0},
        "step": 5000000,
        "tenants": [{"name": "lycee-ennour", "portion": 0.59, "quota-rps": 330.0},
                    {"name": "ecole-el-amal", "portion": 0.41, "quota-rps": 230.0}],
        "tier": 0, "tiers": ["query-fleet"], "value-by": "request", "weights": "rough", "workload": "queries",
        "zones": ["tunis-dc1"]}
    out.update(changes)
    return out


# ---- HTTP

class Closed(Exception):
    pass


class Reader:
    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def more(self):
        got = self.sock.recv(65536)
        if not got:
            raise Closed()
        self.buffer += got

    def until(self, mark):
        while mark not in self.buffer:
            self.more()
        out, self.buffer = self.buffer.split(mark, 1)
        return out

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        out, self.buffer = self.buffer[:size], self.buffer[size:]
        return out


class Call:
    def __init__(self, reader):
        head = reader.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        self.method, self.path, _ = head[0].split(" ", 2)
        self.headers = {}
        for line in head[1:]:
            name, value = line.split(":", 1)
            self.headers[name.strip().lower()] = value.strip()
        self.body = reader.exactly(int(self.headers.get("content-length", "0")))
        self.time = now()


def response(status, body=b"", headers=(), length=None):
    head = "HTTP/1.1 %d x\r\n" % status
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % (len(body) if length is None else length)
    return head.encode() + body


def serve(sock, handle):
    """Accepts connections for good; handle(connection) runs in a thread of its own."""
    def run(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            handle(connection)
        except (Closed, OSError):
            pass
        finally:
            connection.close()

    def accept():
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(connection,), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


class ChangeLog:
    """The change log: numbered events, long polls."""

    def __init__(self):
        self.changed = threading.Condition()
        self.events = []
        self.sock = listen()
        self.address = address_of(self.sock)
        serve(self.sock, self.handle)

    def push(self, servers, full=False):
        with self.changed:
            version = len(self.events) + 1
            self.events.append({"seq": version, "fleet": {"version": version, "full": full, "servers": servers}})
            self.changed.notify_all()

    def known(self):
        with self.changed:
            return {"seq": len(self.events), "results": list(self.events)}

    def handle(self, connection):
        reader = Reader(connection)
        while True:
            call = Call(reader)
            since = int(re.search(r"since=(\d+)", call.path).group(1))
            wait = int(re.search(r"timeout=(\d+)", call.path).group(1)) / 1000
            with self.changed:
                self.changed.wait_for(lambda: len(self.events) > since, min(wait, 5))
                body = json.dumps({"seq": len(self.events), "results": self.events[since:]}).encode()
            connection.sendall(response(200, body))


def server(ident, address, state="in_service"):
    return {"id": ident, "addr": address, "zone": "tunis-dc1", "kind": "std-8", "cell": 0, "state": state, "weight": 8,
            "started_ms": 0}


# ---- the broker

def deploy_run():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
        return re.search(r'^run = "(.*?)"', f.read(), re.M).group(1)


children = []


def stop_all():
    for child in children:
        if child.poll() is None:
            child.kill()
        child.wait()


atexit.register(stop_all)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: sys.exit(2))


class Broker:
    """A broker, started with the command `run` of the deploy file."""

    def __init__(self, folder, change_log, config_settings, fronts=None, environment=(), name="n0", log_level=None,
                 limits=None):
        if not os.path.exists(os.path.join(ROOT, "build", "bellstair")):
            raise CannotRun("build/bellstair is missing: run the deploy file's build first")
        self.address = ("127.0.0.1", free_port())
        os.makedirs(os.path.join(folder, name), exist_ok=True)
        folder = os.path.join(folder, name)
        config = {"name": name, "listen": "%s:%d" % self.address, "seed": os.urandom(8).hex(),
                  "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "changelog": change_log.address, "known": change_log.known(), "settings": config_settings}
        self.config_path = os.path.join(folder, "config.json")
        with open(self.config_path, "w", encoding="utf-8") as f:
            json.dump(config, f)
        command = deploy_run()
        if fronts is not None:
            path = os.path.join(folder, "fronts.hcl")
            with open(path, "w", encoding="utf-8") as f:
                f.write(fronts)
            command += " --fronts " + path
        if log_level:
            command += " --log-level " + log_level
        tmp = os.path.join(folder, "tmp")
        os.makedirs(tmp, exist_ok=True)
        env = dict(os.environ, BALANCER_NAME=name, BALANCER_LISTEN=config["listen"], BALANCER_CONFIG=self.config_path,
                   TMPDIR=tmp)
        env.update(dict(environment))
        self.log_path = os.path.join(folder, "log")
        self.log = open(self.log_path, "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        children.append(self.process)
        self.wait_until_green()

    def wait_until_green(self):
        end = now() + 20
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun("the broker ended: " + open(self.log_path, encoding="utf-8").read()[-500:])
            try:
                with socket.create_connection(self.address, 1) as s:
                    s.sendall(b'{"jsonrpc":"2.0","id":1,"method":"health"}\n')
                    s.settimeout(1)
                    if b'"green":true' in s.recv(4096):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the broker was not ready in 20 s")


class Client:
    """A client of the JSON-RPC protocol; on_answer(id, message, time) is called in the reader's thread."""

    def __init__(self, address, on_answer, on_end=None):
        self.sock = socket.create_connection(address, 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_answer, self.on_end = on_answer, on_end
        self.last_id = 0
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        reader = Reader(self.sock)
        try:
            while True:
                message = json.loads(reader.until(b"\n"))
                self.on_answer(message.get("id"), message, now())
        except (Closed, OSError):
            if self.on_end:
                self.on_end()

    def send(self, cls, statement, **params):
        self.last_id += 1
        all_params = {"txn": os.urandom(8).hex(), "team": "lycee-ennour",
                      "data": base64.b64encode(statement.encode()).decode()}
        all_params.update(params)
        line = json.dumps({"jsonrpc": "2.0", "id": self.last_id, "method": cls, "params": all_params}) + "\n"
        self.sock.sendall(line.encode())
        return self.last_id, all_params["txn"], now()


def body_of(message):
    return base64.b64decode(message["result"]["data"])


def play(folder, case):
    """Runs case(record, scratch); it returns the list of breaks. Exits with 0, 1 or 2."""
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="review-")

    def give_up():
        print("cannot run: the case did not end in time")
        record("cannot run: the case did not end in time")
        sys.stdout.flush()
        stop_all()
        shutil.rmtree(scratch, ignore_errors=True)
        os._exit(2)

    watchdog = threading.Timer(110, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        breaks = case(record, scratch)
    except CannotRun as error:
        print("cannot run:", error)
        record("cannot run:", error)
        status = 2
    except Exception as error:  # a fault of the case itself proves nothing
        import traceback
        traceback.print_exc()
        record("cannot run:", repr(error))
        status = 2
    else:
        for line in breaks:
            record("BREAK", line)
        print("%d breaks%s" % (len(breaks), "" if TROUBLE else " (TROUBLE=0)"))
        for line in breaks[:5]:
            print(" ", line)
        status = 1 if breaks else 0
    record("exit", status)
    stop_all()
    if not os.environ.get("KEEP"):
        shutil.rmtree(scratch, ignore_errors=True)
    else:
        print("kept", scratch)
    sys.stdout.flush()
    os._exit(status)
