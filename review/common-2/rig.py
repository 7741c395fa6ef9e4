"""Stand-ins for the cases 6 to 10: platform, change log, engines (HTTP and MySQL), clients (JSON-RPC and MySQL).

Everything runs in one asyncio loop on 127.0.0.1, except the broker, which is the project's own program, started with
`run` of the deploy file. Only the standard library is used.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK = 0.050  # PROTOCOL: "Each time limit grows by 50 ms"


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.time()
        self("trouble" if TROUBLE else "no trouble")

    def __call__(self, *words):
        self.file.write("%8.3f " % (time.time() - self.began) + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


def settings(**changes):
    """The example of WIRE-bellstair.md, for one broker of a small deployment."""
    def ms(value):
        return int(value * 1_000_000)
    out = {
        "az": 0, "balancers": 1, "me": 0, "membership-mode": "pushed", "over-share-worth": 0.1,
        "ceilings": {"cancel": True, "cpu-us-per-request": 0.0, "cpu-us-per-s": 96544, "dial-timeout": ms(250),
                     "idle-close": ms(30000), "max-attempts": 4, "max-retry-after": ms(500), "may-tell": True,
                     "most-held": 24136, "probing": True, "retry-after": True, "second-copies": True,
                     "streams-per-conn": 100},
        "classes": [
            {"aim": ms(400), "aim-stretch": 1.5, "credit": 1.0, "give-up": ms(2000), "group": "all",
             "late-share": 0.0, "name": "lookup", "semantics": "safe", "stream": False, "window": ms(5000)},
            {"aim": ms(2000), "aim-stretch": 2.5, "credit": 15.0, "give-up": ms(20000), "group": "all",
             "late-share": 0.4, "name": "report", "semantics": "safe", "stream": False, "window": ms(5000)},
            {"aim": ms(3000), "aim-stretch": 3.0, "credit": 20.0, "give-up": ms(25000), "group": "all",
             "in-order": True, "late-share": 0.6, "name": "load", "semantics": "keyed", "stream": False,
             "window": ms(15000)}],
        "clients": {"marks-retry": True},
        "family-info": {"class-waits": [True, False, False], "cpu-of-kind": [8], "grants": True,
                        "loads": [False, False, True], "max-grant-share": 0.4, "out-of-memory": "overcommit",
                        "progress-pace": 0, "ram-of-kind-mb": [16384.0], "report-x0": "share of memory granted",
                        "report-x1": "share of disks busy", "takes-priority": True, "tells-cost": True,
                        "width-by-class": [1, 4, 2]},
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.1},
        "kinds": ["std-8"],
        "prices": {"connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.08, "membership-mode": 0.0,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.05},
        "report": {"fields": ["pending", "x1", "x0"], "how": "pull"},
        "safety": {"ask-within": ms(10000), "cold-from": 0.33, "drain-grace": ms(500), "fall": ms(1000),
                   "grace-to-answer": ms(20), "ramp-time": ms(15000), "tip-multiple": 2.5, "turn-gap": 0},
        "step": ms(5),
        "tenants": [{"name": "lycee-ennour", "portion": 0.59, "quota-rps": 33.0},
                    {"name": "ecole-el-amal", "portion": 0.41, "quota-rps": 23.0}],
        "tier": 0, "tiers": ["query-fleet"], "value-by": "request", "weights": "rough", "workload": "queries",
        "zones": ["tunis-dc1"]}
    out.update(changes)
    return out


def server_entry(name, address, state="in_service", cell=0, started_ms=0):
    return {"id": name, "addr": address, "zone": "tunis-dc1", "kind": "std-8", "cell": cell, "state": state, "weight": 1,
            "started_ms": started_ms}


# ---- the platform: the broker's process and the change log


def deploy_run():
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    found = re.search(r'^run = "([^"]*)"', text, re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no run")
    return found.group(1)


class Broker:
    """One broker, as the platform starts it; `fronts`: the text of an operator's file, given with --fronts."""

    def __init__(self, case, changelog, engines, fronts=None, conf=None, environment=None):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="broker-", dir=case.folder)
        self.changelog = changelog
        self.engines = engines
        self.fronts = fronts
        self.conf = conf or settings()
        self.environment = environment or {}
        self.process = None
        self.address = None
        self.mysql_address = None

    async def start(self):
        if not os.access(os.path.join(ROOT, "build", "bellstair"), os.X_OK):
            raise CannotRun("build/bellstair is not built")
        config = os.path.join(self.folder, "config.json")
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": True, "servers": self.engines}}]}
        with open(config, "w") as out:
            json.dump({"name": "n1", "listen": "127.0.0.1:0", "seed": "%016x" % random.getrandbits(64),
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peer_listen": "", "peers": [],
                       "peers_all": "", "changelog": self.changelog, "known": known, "settings": self.conf}, out)
        command = deploy_run()
        if self.fronts is not None:
            fronts = os.path.join(self.folder, "fronts.hcl")
            with open(fronts, "w") as out:
                out.write(self.fronts)
            command += " --fronts '%s'" % fronts
        os.mkdir(os.path.join(self.folder, "tmp"))
        environment = dict(os.environ, BALANCER_NAME="n1", BALANCER_LISTEN="127.0.0.1:0", BALANCER_CONFIG=config,
                           TMPDIR=os.path.join(self.folder, "tmp"), **self.environment)
        if os.environ.get("CASE_DEBUG"):
            command += " --log-level debug"
        self.log = os.path.join(self.folder, "log")
        with open(self.log, "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.case.processes.append(self.process)
        self.address = await self.listen_address("listen")
        if self.fronts is not None and "mysql {" in self.fronts:
            self.mysql_address = await self.listen_address("mysql.listen")
        await self.wait_until_green()

    async def listen_address(self, setting):
        for _ in range(300):
            found = re.search(r"bellstair: %s on (127\.[0-9.]+:\d+)" % re.escape(setting), open(self.log).read())
            if found:
                return found.group(1)
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun("the broker does not listen: " + open(self.log).read()[-500:])

    async def wait_until_green(self):
        client = await JsonClient.connect(self.address)
        for _ in range(300):
            answer = await client.call("health", {})
            if answer.get("result", {}).get("green"):
                return await client.close()
            await asyncio.sleep(0.1)
        raise CannotRun("the broker is not green")


class ChangeLog:
    """The change log. `slow`: a function that gives the seconds by which the next answer comes late."""

    def __init__(self, case, slow=lambda: 0.0):
        self.case = case
        self.slow = slow
        self.events = []  # (seq, event)
        self.last = 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def tell(self, servers):
        self.last += 1
        self.events.append({"seq": self.last, "fleet": {"version": self.last, "full": False, "servers": servers}})
        self.changed.set()
        self.changed = asyncio.Event()
        return time.time()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = urllib.parse.parse_qs(urllib.parse.urlparse(head.split()[1]).query)
                since, wait = int(query["since"][0]), min(5.0, int(query["timeout"][0]) / 1000)
                late = self.slow()
                if self.last <= since:
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
                results = [e for e in self.events if e["seq"] > since]
                body = json.dumps({"seq": max(since, self.last), "results": results}).encode()
                if late > 0:
                    await asyncio.sleep(late)
                self.case.record("changelog: asked since=%d, answers" % since, len(results), "events",
                                 "%.1f s late" % late)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.case.record("changelog: the broker closed its connection")
        finally:
            writer.close()


# ---- clients


class JsonClient:
    @classmethod
    async def connect(cls, address):
        host, port = address.split(":")
        self = cls()
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.last_id, self.closed, self.lost = 0, False, "the broker closed the connection"
        self.open = {}
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                if message.get("id") is None:
                    self.lost = "the broker wrote " + repr(line[:200])
                waiting = self.open.pop(message.get("id"), None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
        except (ConnectionError, ValueError) as error:
            self.lost = repr(error)
        self.closed = True
        for waiting in self.open.values():
            if not waiting.done():
                waiting.set_result({"closed": True})
        self.open = {}

    def send(self, method, params):
        """Returns (id, future of the answer)."""
        self.last_id += 1
        waiting = asyncio.get_running_loop().create_future()
        if self.closed:
            waiting.set_result({"closed": True})
            return self.last_id, waiting
        self.open[self.last_id] = waiting
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params}
        self.writer.write(json.dumps(message).encode() + b"\n")
        return self.last_id, waiting

    async def call(self, method, params):
        return await self.send(method, params)[1]

    async def close(self):
        self.writer.close()
        self.task.cancel()


def request(statement, limit, team="lycee-ennour", **fields):
    out = {"txn": "%016x" % random.getrandbits(64), "limit": limit, "team": team,
           "data": base64.b64encode(statement.encode()).decode()}
    out.update(fields)
    return out


def lenenc(value):
    if isinstance(value, int):
        if value < 0xfb:
            return bytes([value])
        return b"\xfc" + struct.pack("<H", value) if value < 0x10000 else b"\xfd" + struct.pack("<I", value)[:3]
    raw = value.encode() if isinstance(value, str) else value
    return lenenc(len(raw)) + raw


class Cursor:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, count):
        if self.at + count > len(self.data):
            raise ValueError("a packet is cut short")
        self.at += count
        return self.data[self.at - count:self.at]

    def number(self, count):
        return int.from_bytes(self.take(count), "little")

    def lenenc(self):
        first = self.number(1)
        return first if first < 0xfb else self.number({0xfc: 2, 0xfd: 3, 0xfe: 8}[first])

    def text(self):
        return self.take(self.lenenc())

    def zero(self):
        end = self.data.index(b"\0", self.at)
        out, self.at = self.data[self.at:end], end + 1
        return out

    def rest(self):
        return self.take(len(self.data) - self.at)


CAPABILITIES = 1 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 19 | 1 << 21 | 1 << 27
VAR_STRING, LONGLONG = 0xfd, 0x08


def native_response(password, nonce):
    once = hashlib.sha1(password.encode()).digest()
    mask = hashlib.sha1(nonce + hashlib.sha1(once).digest()).digest()
    return bytes(a ^ b for a, b in zip(once, mask))


class Packets:
    def __init__(self, reader, writer):
        self.reader, self.writer, self.sequence = reader, writer, 0

    async def receive(self):
        head = await self.reader.readexactly(4)
        self.sequence = (head[3] + 1) & 0xff
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    def frame(self, payload):
        out = len(payload).to_bytes(3, "little") + bytes([self.sequence]) + payload
        self.sequence = (self.sequence + 1) & 0xff
        return out

    def send(self, payload):
        self.writer.write(self.frame(payload))


def typed_values(values, names):
    """The part of an execute, or of a query with attributes, behind the count."""
    types = b"".join(struct.pack("<H", LONGLONG if isinstance(v, int) else VAR_STRING) + lenenc(n)
                     for v, n in zip(values, names))
    data = b"".join(struct.pack("<q", v) if isinstance(v, int) else lenenc(v) for v in values)
    return bytes((len(values) + 7) // 8) + b"\1" + types + data


class MysqlClient:
    """A client of the MySQL protocol with query attributes; one command at a time."""

    @classmethod
    async def connect(cls, address, user="gateway", password="secret"):
        host, port = address.split(":")
        self = cls()
        reader, self.writer = await asyncio.open_connection(host, int(port))
        self.packets = Packets(reader, self.writer)
        greeting = Cursor(await self.packets.receive())
        greeting.number(1)
        greeting.zero()
        greeting.number(4)
        nonce = greeting.take(8)
        greeting.take(1 + 2 + 1 + 2 + 2 + 1 + 10)
        nonce += greeting.take(12)
        login = struct.pack("<IIB", CAPABILITIES, 1 << 24, 45) + bytes(23) + user.encode() + b"\0"
        login += lenenc(native_response(password, nonce)) + b"mysql_native_password\0"
        self.packets.send(login)
        if (await self.packets.receive())[0] != 0:
            raise CannotRun("the broker refused the login")
        return self

    def command(self, payload):
        self.packets.sequence = 0
        self.packets.send(payload)

    async def prepare(self, text):
        self.command(b"\x16" + text.encode())
        answer = Cursor(await self.packets.receive())
        if answer.number(1) != 0:
            raise CannotRun("the broker refused to prepare")
        statement, _, parameters = answer.number(4), answer.number(2), answer.number(2)
        for _ in range(parameters + 1 if parameters else 0):
            await self.packets.receive()
        return statement

    async def execute(self, statement, values):
        self.command(b"\x17" + struct.pack("<IBI", statement, 8, 1) + lenenc(len(values)) +
                     typed_values(values, [""] * len(values)))
        return await self.result(True)

    async def query(self, text):
        self.command(b"\x03" + lenenc(0) + lenenc(1) + text.encode())
        return await self.result(False)

    async def result(self, binary):
        """("rows", rows), ("ok", affected) or ("error", code, message)."""
        first = await self.packets.receive()
        if first[0] == 0xff:
            return "error", int.from_bytes(first[1:3], "little"), first[9:].decode()
        if first[0] == 0:
            return "ok", first[1]
        columns = Cursor(first).lenenc()
        for _ in range(columns + 1):
            await self.packets.receive()
        rows = []
        while True:
            packet = await self.packets.receive()
            if packet[0] == 0xfe and len(packet) < 9:
                return "rows", rows
            row = Cursor(packet)
            if binary:
                row.take(1 + (columns + 9) // 8)
            rows.append([row.text().decode() for _ in range(columns)])

    def close(self):
        self.writer.close()


# ---- engines


class Run:
    """One statement that reached an engine whole."""

    def __init__(self, engine, statement, fields, received):
        self.engine, self.statement, self.fields = engine, statement, fields
        self.received = received  # when the last byte of it had come, also while the engine hung
        self.began, self.ended, self.how = time.time(), None, "runs"


class MysqlEngine:
    """An engine that speaks the MySQL protocol, with prepared statements and query attributes.

    `work(run)` gives the seconds that a statement takes, `rows(run)` its rows (none: an OK packet). A statement
    belongs to no connection's life: as a real server does, it goes on when its connection breaks, and a KILL of its
    connection ends it. `keys`, shared by all engines, drops a repeat of a load's key for 15 s.
    """

    def __init__(self, case, name, work, rows, keys=None, window=15.0):
        self.case, self.name, self.work, self.rows = case, name, work, rows
        self.keys = keys if keys is not None else {}
        self.window = window
        self.runs = []
        self.connections = {}
        self.last_connection = 0
        self.quiet = False  # does not record each statement
        self.second_copies = None  # a function that gives the seconds after which an answer is sent again, or None
        self.awake = asyncio.Event()  # cleared while the engine hangs
        self.awake.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def hang(self):
        self.case.record(self.name, "hangs")
        self.awake.clear()

    def go_on(self):
        self.case.record(self.name, "goes on")
        self.awake.set()

    async def serve(self, reader, writer):
        self.last_connection += 1
        connection = self.last_connection
        packets = Packets(reader, writer)
        self.connections[connection] = {"writer": writer, "run": None, "killed": asyncio.Event()}
        try:
            await self.awake.wait()
            await self.log_in(packets, connection)
            statements = {}
            while True:
                payload = await packets.receive()
                received = time.time()
                await self.awake.wait()
                if not await self.command(packets, connection, statements, payload, received):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.pop(connection, None)
            writer.close()

    async def log_in(self, packets, connection):
        nonce = bytes(random.randrange(1, 127) for _ in range(20))
        packets.send(b"\x0a" + b"8.0.0-standin\0" + struct.pack("<I", connection) + nonce[:8] + b"\0" +
                     struct.pack("<H", CAPABILITIES & 0xffff) + b"\x2d" + struct.pack("<H", 2) +
                     struct.pack("<H", CAPABILITIES >> 16) + b"\x15" + bytes(10) + nonce[8:] + b"\0" +
                     b"mysql_native_password\0")
        login = Cursor(await packets.receive())
        login.take(32)
        user, response = login.zero(), login.text()
        await self.awake.wait()
        if user != b"broker" or response != native_response("secret", nonce):
            packets.send(b"\xff" + struct.pack("<H", 1045) + b"#28000access denied")
            raise ConnectionError
        packets.send(b"\0\0\0\2\0\0\0")

    async def command(self, packets, connection, statements, payload, received):
        code, body = payload[0], Cursor(payload[1:])
        if code == 0x01:
            return False
        if code == 0x0e:
            packets.send(b"\0\0\0\2\0\0\0")
        elif code == 0x16:
            text = body.rest().decode()
            number = len(statements) + 1
            count = re.sub(r"/\*.*?\*/|'[^']*'", "", text, flags=re.S).count("?")
            statements[number] = (text, count)
            if not self.quiet:
                self.case.record(self.name, "prepares", repr(text))
            answer = packets.frame(b"\0" + struct.pack("<IHHBH", number, 0, count, 0, 0))
            answer += b"".join(packets.frame(self.column("?")) for _ in range(count))
            self.send_answer(packets, answer + (packets.frame(b"\xfe\0\0\2\0") if count else b""), "the prepare")
        elif code == 0x19:
            statements.pop(body.number(4), None)
        elif code == 0x17:
            number, flags = body.number(4), body.number(1)
            body.number(4)
            text, count = statements[number]
            values, fields = self.read_values(body, body.lenenc() if flags & 8 else count)
            await self.run(packets, connection, text, dict(fields, values=values[:count]), True,
                           received)
        elif code == 0x03:
            count = body.lenenc()
            body.lenenc()
            _, fields = self.read_values(body, count)
            text = body.rest().decode()
            if text.startswith("KILL "):
                self.kill(int(text.split()[1]))
                packets.send(b"\0\0\0\2\0\0\0")
            else:
                await self.run(packets, connection, text, dict(fields, values=[]), False, received)
        else:
            packets.send(b"\xff" + struct.pack("<H", 1047) + b"#08S01unknown command")
        return True

    @staticmethod
    def read_values(body, count):
        if count == 0:
            return [], {}
        nulls = body.take((count + 7) // 8)
        body.number(1)
        kinds = [(body.number(2), body.text().decode()) for _ in range(count)]
        values, fields = [], {}
        for i, (kind, name) in enumerate(kinds):
            if nulls[i // 8] >> (i % 8) & 1:
                value = None
            elif kind & 0xff == LONGLONG:
                value = int.from_bytes(body.take(8), "little", signed=True)
            else:
                value = body.text().decode()
            values.append(value)
            if name:
                fields[name] = value
        return values, fields

    @staticmethod
    def column(name):
        return (lenenc("def") + lenenc("") * 3 + lenenc(name) * 2 + b"\x0c" + struct.pack("<HIBHBH", 45, 65535,
                                                                                         VAR_STRING, 0, 0, 0))

    def kill(self, connection):
        self.case.record(self.name, "is told to kill connection", connection)
        found = self.connections.get(connection)
        if found is None:
            return
        found["killed"].set()
        if found["run"] is None:
            found["writer"].close()

    async def run(self, packets, connection, text, fields, binary, received):
        run = Run(self, text, fields, received)
        key = fields.get("unique")
        first = self.keys.get(key) if key else None
        if first is not None and run.began < first + self.window:
            run.how = "dropped as a repeat"
        elif key:
            self.keys[key] = run.began
        self.runs.append(run)
        words = {k: v for k, v in fields.items() if k in ("ticket", "class", "unique", "values")}
        if not self.quiet:
            self.case.record(self.name, "executes" if run.how == "runs" else run.how, repr(text), words)
        if run.how == "runs":
            state = self.connections[connection]
            state["run"] = run
            work = asyncio.ensure_future(self.work_off(run, state["killed"]))
            # The statement goes on if the connection breaks: `shield`.
            await asyncio.shield(work)
            state["run"] = None
        await self.awake.wait()
        if run.how == "killed":
            packets.send(b"\xff" + struct.pack("<H", 1317) + b"#70100Query execution was interrupted")
            raise ConnectionError
        self.send_answer(packets, self.answer(packets, self.rows(run), binary), fields.get("ticket"))

    def send_answer(self, packets, answer, to):
        packets.writer.write(answer)
        late = self.second_copies() if self.second_copies else None
        if late is not None:
            self.case.record(self.name, "sends a second copy of the answer to", to, "%.0f ms later" % (late * 1000))
            asyncio.get_running_loop().call_later(late, self.write_if_open, packets.writer, answer)

    @staticmethod
    def write_if_open(writer, data):
        if not writer.is_closing():
            writer.write(data)

    async def work_off(self, run, killed):
        try:
            await asyncio.wait_for(killed.wait(), self.work(run))
            run.how = "killed"
        except asyncio.TimeoutError:
            run.how = "done"
        run.ended = time.time()
        if not self.quiet:
            self.case.record(run.engine.name, run.how, repr(run.statement), run.fields.get("unique", ""))

    def answer(self, packets, rows, binary):
        packets.sequence = 1
        if rows is None:
            return packets.frame(b"\0\1\0\2\0\0\0")
        columns = len(rows[0]) if rows else 3
        out = packets.frame(lenenc(columns))
        for i in range(columns):
            out += packets.frame(self.column("c%d" % (i + 1)))
        out += packets.frame(b"\xfe\0\0\2\0")
        for row in rows:
            cells = b"".join(lenenc(cell) for cell in row)
            out += packets.frame(b"\0" + bytes((columns + 9) // 8) + cells if binary else cells)
        return out + packets.frame(b"\xfe\0\0\2\0")


class HttpEngine:
    """An engine of the platform's protocol. A query runs for `work(fields, statement)` seconds, gives `rows(statement)`,
    and ends 2 s after it was last asked for. The engines of a cell share `keys` and drop a repeat of a load's key for
    `window` seconds. `reply(head, body, method, path)` may change what is written."""

    def __init__(self, case, name, work, rows, keys=None, window=15.0):
        self.case, self.name, self.work, self.rows = case, name, work, rows
        self.keys = keys if keys is not None else {}
        self.window = window
        self.queries = {}
        self.sends = []  # (time of the first byte, id, class)
        self.runs = []   # (time, key) of each load that was run, and not dropped as a repeat
        self.writers = set()
        self.reply = None
        self.quiet = False

    async def start(self, address="127.0.0.1:0"):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def end(self):
        """The process ends: its connections are reset, and new ones refused."""
        self.case.record(self.name, "ends; it held", sum(q["done"] > time.time() for q in self.queries.values()), "queries")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first = await reader.readexactly(1)
                began = time.time()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, path = head.split()[:2]
                fields = {}
                for line in head.split("\r\n")[1:]:
                    if ": " in line:
                        name, value = line.split(": ", 1)
                        fields[name.lower()] = value
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, extra, text = await self.call(method, path, fields, body.decode("latin-1"), began)
                reply = ("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, extra, len(text))).encode()
                data = reply + text.encode()
                writer.write(self.reply(reply, text.encode(), status) if self.reply else data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, path, fields, body, began):
        if path in ("/-/ok", "/-/gauges"):
            return 200, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n", ""
        if method == "POST":
            ticket, key = fields["x-ticket"], fields.get("x-nonce")
            self.sends.append((began, ticket, fields["x-queue"]))
            now = time.time()
            repeat = bool(key) and key in self.keys and now < self.keys[key] + self.window
            if not self.quiet:
                self.case.record(self.name, "drops the repeat of" if repeat else "runs", fields["x-queue"], ticket,
                                 key or "", repr(body[:60]))
            if key and not repeat:
                self.keys[key] = now
                self.runs.append((began, key))
            query = {"statement": body, "done": now + (0 if repeat else self.work(fields)), "asked": now}
            self.queries[ticket] = query
            return await self.news(query)
        ticket, _, page = path[len("/v1/store/"):].partition("/")
        query = self.queries.get(ticket)
        if query is None or time.time() > query["asked"] + 2:
            return 500, "", ""
        if method == "DELETE":
            del self.queries[ticket]
            return 204, "", ""
        if method == "PUT":
            return 204, "", ""
        return await self.news(query)

    async def news(self, query):
        query["asked"] = time.time()
        left = query["done"] - time.time()
        await asyncio.sleep(max(0.0, min(0.25, left)))
        query["asked"] = time.time()
        if time.time() < query["done"]:
            return 202, "", ""
        return 200, "Result-Pages: 1\r\nQuery-Cost: 60\r\nQuery-Need: 8\r\n", self.rows(query["statement"])


class CutProxy:
    """Stands between the broker and an engine. While it is cut, nothing passes in either direction, new connections
    never come up, and nothing is said; `reset()` resets the connections that `which` chooses."""

    def __init__(self, case, name, target):
        self.case, self.name, self.target = case, name, target
        self.cut_until = 0.0
        self.pairs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def cut(self, seconds):
        self.case.record(self.name, "is cut off for", seconds, "s")
        self.cut_until = time.time() + seconds

    def reset(self):
        self.case.record(self.name, "connections reset:", len(self.pairs))
        for near, far in list(self.pairs):
            near.transport.abort()
            far.close()
        self.pairs = []

    async def passable(self):
        while (left := self.cut_until - time.time()) > 0:
            await asyncio.sleep(min(left + 0.001, 0.05))

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        if self.cut_until > time.time():
            try:
                await reader.read()  # until the broker gives the connection up: it never comes up
            except ConnectionError:
                pass
            return writer.close()
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pair = (writer, far_writer)
        self.pairs.append(pair)
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        if pair in self.pairs:
            self.pairs.remove(pair)

    async def pump(self, source, sink):
        try:
            while data := await source.read(65536):
                await self.passable()
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            pass
        await self.passable()
        sink.close()


FRONTS = """
mysql {
  listen = "127.0.0.1:0"
  user "gateway" {
    password_env = "CASE_PASSWORD"
    tenant       = "lycee-ennour"
  }
}
"""
MYSQL_ENGINES = """
mysql_engines {
  user         = "broker"
  password_env = "CASE_PASSWORD"
}
"""
SECRETS = {"CASE_PASSWORD": "secret"}


# ---- a case


class Case:
    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="bellstair-case-")
        self.processes = []

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def _play(case, play, limit):
    try:
        return await asyncio.wait_for(play(case), limit)
    finally:
        await case.end()


def main(folder, play, limit=110):
    """`play(case)` returns the breaks of the rule, as lines of text. Exits with 0, 1 or 2, as the issue says."""
    case = Case(os.path.abspath(folder))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the broker on the way out
    try:
        breaks = asyncio.run(_play(case, play, limit))
    except (Exception, SystemExit) as error:  # nothing was judged
        case.record("the case could not run:", repr(error))
        print("could not run:", repr(error), flush=True)
        os._exit(2)
    for line in breaks:
        case.record("BROKEN:", line)
        print("broken:", line)
    verdict = "the rule was broken %d times" % len(breaks) if breaks else "the rule held"
    case.record(verdict)
    print(verdict, flush=True)
    os._exit(1 if breaks else 0)  # connections of stand-ins may still be open
