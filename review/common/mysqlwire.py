"""A MySQL client and a MySQL engine, as stand-ins: the parts of the public protocol that the cases use."""
import hashlib
import os
import socket
import struct
import threading
import time

from stand import Closed, Reader, serve

LONG_PASSWORD, PROTOCOL_41, TRANSACTIONS, SECURE, PLUGIN_AUTH, LENENC_AUTH, ATTRIBUTES = (
    1, 1 << 9, 1 << 13, 1 << 15, 1 << 19, 1 << 21, 1 << 27)
VAR_STRING, LONGLONG = 0xfd, 0x08
OK = b"\x00\x00\x00\x02\x00\x00\x00"
EOF_PACKET = b"\xfe\x00\x00\x02\x00"


def lenenc(n):
    if n < 251:
        return bytes([n])
    return b"\xfc" + struct.pack("<H", n) if n < 65536 else b"\xfd" + struct.pack("<I", n)[:3]


def lenenc_text(text):
    return lenenc(len(text)) + text


def error_packet(code, state, text):
    return b"\xff" + struct.pack("<H", code) + b"#" + state + text


def column(name):
    return (lenenc_text(b"def") + lenenc_text(b"") * 3 + lenenc_text(name) * 2 + b"\x0c" +
            struct.pack("<HIBHBH", 33, 65535, VAR_STRING, 0, 0, 0))


class Cursor:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        out = self.data[self.at:self.at + size]
        self.at += size
        return out

    def number(self, size):
        return int.from_bytes(self.take(size), "little")

    def lenenc(self):
        first = self.number(1)
        return first if first < 251 else self.number({0xfc: 2, 0xfd: 3, 0xfe: 8}[first])

    def text(self):
        return self.take(self.lenenc())

    def rest(self):
        return self.data[self.at:]


class Packets:
    def __init__(self, sock):
        self.sock, self.reader, self.sequence = sock, Reader(sock), 0

    def receive(self):
        head = self.reader.exactly(4)
        self.sequence = (head[3] + 1) & 255
        return self.reader.exactly(int.from_bytes(head[:3], "little"))

    def send(self, *payloads):
        out = b""
        for payload in payloads:
            out += len(payload).to_bytes(3, "little") + bytes([self.sequence]) + payload
            self.sequence = (self.sequence + 1) & 255
        self.sock.sendall(out)

    def command(self, payload):
        self.sequence = 0
        self.send(payload)


def read_value(cursor, kind):
    kind &= 0xff
    if kind == 0x06:
        return None
    if kind == LONGLONG:
        return cursor.number(8)
    if kind == 0x05:
        return struct.unpack("<d", cursor.take(8))[0]
    return cursor.text()


def read_bound(cursor, count, named):
    """The values of an execute or a query with attributes, with the names of those that have one."""
    nulls = cursor.take((count + 7) // 8)
    cursor.number(1)
    kinds = []
    for _ in range(count):
        kind = cursor.number(2)
        kinds.append((kind, cursor.text().decode() if named else ""))
    return [(name, None if nulls[i // 8] >> (i % 8) & 1 else read_value(cursor, kind))
            for i, (kind, name) in enumerate(kinds)]


class MysqlEngine:
    """Calls on_prepare(session, text) and on_execute(session, text, values, attributes).

    on_execute returns rows (a list of lists of bytes), an error as (code, state, text), or None to reset the connection.
    on_kill(connection id) is called for KILL. second_copy() is called for each answer that was sent; it returns the delay
    after which the answer is sent once more, or None.
    """

    def __init__(self, sock, on_prepare, on_execute, on_kill=lambda ident: None, second_copy=lambda: None):
        self.on_prepare, self.on_execute, self.on_kill, self.second_copy = on_prepare, on_execute, on_kill, second_copy
        self.lock, self.last = threading.Lock(), 0
        serve(sock, self.handle)

    def handle(self, sock):
        with self.lock:
            self.last += 1
            ident = self.last
        packets = Packets(sock)
        nonce = os.urandom(20).hex().encode()[:20]
        offered = LONG_PASSWORD | PROTOCOL_41 | TRANSACTIONS | SECURE | PLUGIN_AUTH | LENENC_AUTH | ATTRIBUTES
        packets.send(b"\x0a8.0.36\x00" + struct.pack("<I", ident) + nonce[:8] + b"\x00" +
                     struct.pack("<H", offered & 0xffff) + b"\x21\x02\x00" + struct.pack("<H", offered >> 16) +
                     b"\x15" + b"\x00" * 10 + nonce[8:] + b"\x00" + b"mysql_native_password\x00")
        packets.receive()
        packets.send(OK)
        statements = {}
        while True:
            payload = packets.receive()
            code, cursor = payload[0], Cursor(payload[1:])
            if code == 0x01:
                return
            if code == 0x0e:
                packets.send(OK)
            elif code == 0x19:
                statements.pop(cursor.number(4), None)
            elif code == 0x16:
                text = cursor.rest().decode()
                self.on_prepare(ident, text)
                number = len(statements) + 1
                count = text.split("*/")[-1].count("?")
                statements[number] = (text, count)
                out = [b"\x00" + struct.pack("<IHHBH", number, 0, count, 0, 0)]
                if count:
                    out += [column(b"?")] * count + [EOF_PACKET]
                packets.send(*out)
            elif code == 0x17:
                text, count = statements[cursor.number(4)]
                flags = cursor.number(1)
                cursor.number(4)
                total = cursor.lenenc() if flags & 8 else count
                bound = read_bound(cursor, total, bool(flags & 8)) if total else []
                self.answer(sock, packets, ident, text, [v for _, v in bound[:count]], dict(bound[count:]), True)
            elif code == 0x03:
                total = cursor.lenenc()
                cursor.lenenc()
                attributes = dict(read_bound(cursor, total, True)) if total else {}
                text = cursor.rest().decode()
                if text.startswith("KILL"):
                    self.on_kill(int(text.split()[1]))
                    packets.send(OK)
                else:
                    self.answer(sock, packets, ident, text, [], attributes, False)
            else:
                packets.send(error_packet(1047, b"08S01", b"unknown command"))

    def answer(self, sock, packets, ident, text, values, attributes, binary):
        rows = self.on_execute(ident, text, values, attributes)
        if rows is None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise Closed()
        if isinstance(rows, tuple):
            out = [error_packet(*rows)]
        elif not rows:
            out = [OK]
        else:
            out = [lenenc(len(rows[0]))] + [column(b"c%d" % i) for i in range(len(rows[0]))] + [EOF_PACKET]
            for row in rows:
                cells = b"".join(lenenc_text(cell) for cell in row)
                out.append(b"\x00" + b"\x00" * ((len(row) + 9) // 8) + cells if binary else cells)
            out.append(EOF_PACKET)
        sequence = packets.sequence
        packets.send(*out)
        delay = self.second_copy()
        if delay is not None:
            time.sleep(delay)
            packets.sequence = sequence
            packets.send(*out)


class MysqlClient:
    def __init__(self, address, user="gateway", password="secret"):
        self.sock = socket.create_connection(address, 5)
        self.sock.settimeout(60)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.packets = Packets(self.sock)
        greeting = Cursor(self.packets.receive())
        greeting.take(1)
        while greeting.take(1) != b"\x00":
            pass
        greeting.take(4)
        nonce = greeting.take(8)
        greeting.take(1 + 2 + 3 + 2 + 1 + 10)
        nonce += greeting.take(12)
        first = hashlib.sha1(password.encode()).digest()
        mask = hashlib.sha1(nonce + hashlib.sha1(first).digest()).digest()
        scramble = bytes(a ^ b for a, b in zip(first, mask))
        capabilities = LONG_PASSWORD | PROTOCOL_41 | SECURE | PLUGIN_AUTH | LENENC_AUTH
        self.packets.send(struct.pack("<IIB", capabilities, 1 << 24, 33) + b"\x00" * 23 + user.encode() + b"\x00" +
                          lenenc_text(scramble) + b"mysql_native_password\x00")
        answer = self.packets.receive()
        if answer[0] != 0:
            raise RuntimeError("login failed: %r" % answer)

    def prepare(self, text):
        self.packets.command(b"\x16" + text.encode())
        cursor = Cursor(self.packets.receive())
        cursor.take(1)
        ident = cursor.number(4)
        cursor.number(2)
        count = cursor.number(2)
        for _ in range(count + 1 if count else 0):
            self.packets.receive()
        return ident

    def send_execute(self, ident, values):
        payload = b"\x17" + struct.pack("<IBI", ident, 0, 1)
        if values:
            payload += b"\x00" * ((len(values) + 7) // 8) + b"\x01" + struct.pack("<H", VAR_STRING) * len(values)
            payload += b"".join(lenenc_text(v.encode()) for v in values)
        self.packets.command(payload)

    def result(self):
        """'ok', ('rows', raw row packets), or ('error', code, text)."""
        first = self.packets.receive()
        if first[0] == 0xff:
            return "error", int.from_bytes(first[1:3], "little"), first[9:].decode("latin-1")
        if first[0] == 0:
            return ("ok",)
        for _ in range(first[0] + 1):
            self.packets.receive()
        rows = []
        while True:
            row = self.packets.receive()
            if row[0] == 0xfe and len(row) < 9:
                return "rows", rows
            rows.append(row)


def fronts(listen_port):
    """An operator's file: the MySQL front, and engines that speak MySQL."""
    return """
mysql {
  listen = "127.0.0.1:%d"
  user "gateway" {
    password_env = "BELLSTAIR_GATEWAY_PASSWORD"
    tenant       = "lycee-ennour"
  }
  user "amal" {
    password_env = "BELLSTAIR_GATEWAY_PASSWORD"
    tenant       = "ecole-el-amal"
  }
}
mysql_engines {
  user         = "broker"
  password_env = "BELLSTAIR_ENGINE_PASSWORD"
}
""" % listen_port


ENVIRONMENT = {"BELLSTAIR_GATEWAY_PASSWORD": "secret", "BELLSTAIR_ENGINE_PASSWORD": "secret"}
