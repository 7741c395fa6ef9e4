"""Bad clients send messages whose values are empty objects; usual clients' lookups must still get their answers in time."""
import os

from stand import *  # noqa: F401,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIMIT_MS = 2000          # the class's give-up time at the site
SLACK = 0.5 + 0.05       # the standing test: half a second; the protocol: each limit grows by 50 ms
CONNECTIONS = 10
REQUESTS_A_SECOND = 10
TROUBLE_AT, LAST_REQUEST_AT = 3.0, 25.0
BAD_CLIENTS, BAD_MESSAGES = 4, 2
BAD_MESSAGE_BYTES = 250_000


def engine(connection):
    """Serves each query in 20 ms."""
    reader = Reader(connection)
    while True:
        call = Call(reader)
        if call.path.startswith("/-/"):
            connection.sendall(response(200, b"", [("X-Meter", "pending:0;x1:0.1;x0:0.1")]))
        elif call.method == "POST":
            time.sleep(0.02)
            connection.sendall(response(200, b"a\tb\tc\n",
                                        [("Result-Pages", 1), ("Query-Cost", 20), ("Query-Need", 8)]))
        else:
            connection.sendall(response(500 if call.method == "GET" else 204))


def bad_message(number):
    """A request of 250 KB whose client wrote each value of its statement as an empty object."""
    head = '{"jsonrpc":"2.0","id":%d,"method":"load","params":{"txn":"%s","limit":25000,"data":[' % (
        number, os.urandom(8).hex())
    values = "{}," * ((BAD_MESSAGE_BYTES - len(head)) // 3)
    return (head + values + "{}]}}\n").encode()


def bad_client(address, record, name):
    """Sends at full speed and reads what it is sent."""
    messages = b"".join(bad_message(n + 1) for n in range(BAD_MESSAGES))
    try:
        with socket.create_connection(address, 5) as s:
            record(name, "connects and sends", len(messages), "bytes in", BAD_MESSAGES, "messages")
            threading.Thread(target=s.sendall, args=(messages,), daemon=True).start()
            reader = Reader(s)
            for _ in range(BAD_MESSAGES):
                record(name, "is told", reader.until(b"\n")[:120].decode("latin-1"))
    except (Closed, OSError) as error:
        record(name, "ends:", repr(error))


def case(record, scratch):
    change_log = ChangeLog()
    engines = [listen() for _ in range(3)]
    for sock in engines:
        serve(sock, engine)
    change_log.push([server("s-%08x" % (i + 1), address_of(sock)) for i, sock in enumerate(engines)], True)
    broker = Broker(scratch, change_log, settings())
    sent, answered, lock = {}, {}, threading.Lock()

    def on_answer(number):
        def answer(ident, message, at):
            kind = "served" if "result" in message else "error %d" % message["error"]["code"]
            with lock:
                answered.setdefault((number, ident), (at, kind))
            record("client", number, "request", ident, "is answered:", kind)
        return answer

    clients = [Client(broker.address, on_answer(n)) for n in range(CONNECTIONS)]
    began, count, trouble = now(), 0, not TROUBLE
    while now() < began + LAST_REQUEST_AT:
        if not trouble and now() >= began + TROUBLE_AT:
            trouble = True
            for n in range(BAD_CLIENTS):
                threading.Thread(target=bad_client, args=(broker.address, record, "bad client %d" % n),
                                 daemon=True).start()
        number = count % CONNECTIONS
        ident, txn, at = clients[number].send("lookup", "SELECT a FROM sales_3.orders", limit=LIMIT_MS, cpu=20.0)
        with lock:
            sent[number, ident] = (at, txn)
        record("client", number, "request", ident, "is sent, txn", txn)
        count += 1
        time.sleep(max(0, began + count / REQUESTS_A_SECOND - now()))
    time.sleep(LIMIT_MS / 1000 + SLACK + 0.5)
    if broker.process.poll() is not None:
        return ["the broker ended with status %s" % broker.process.returncode]
    breaks = []
    with lock:
        for request, (at, txn) in sorted(sent.items(), key=lambda item: item[1]):
            due = at + LIMIT_MS / 1000 + SLACK
            if request not in answered:
                breaks.append("lookup %s: no answer %.2f s after it was sent" % (txn, now() - at))
            elif answered[request][0] > due:
                breaks.append("lookup %s: its answer (%s) came %.2f s after it was sent" %
                              (txn, answered[request][1], answered[request][0] - at))
    print("%d lookups, %d answered" % (len(sent), len(answered)))
    return breaks


play(FOLDER, case)
