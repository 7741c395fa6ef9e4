"""Case 10: an engine that speaks MySQL is cut off while it runs a load. The broker can't deliver its KILL, takes the load
for ended all the same, and sends the next load of the same key to another engine while the first one runs."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from rig import *  # noqa: E402,F403

CUT = 6.0       # seconds; STANDING, split+mass: "for 6 s a zone is partitioned (or a fifth of the engines fall silent)"
WORK = 8.0      # seconds that a load runs
GIVE_UP = 3.0   # seconds after which the client of the first load gives up and cancels
ROUNDS = 3


async def play(case):
    engines, proxies, keys = [], [], {}
    names = ["s-0000000%x" % (10 + i) for i in range(5)]
    for name in names:
        engine = await MysqlEngine(case, name, lambda run: WORK if run.fields.get("class") == "load" else 0.03,
                                   lambda run: None if run.fields.get("class") == "load" else [["1", "2", "3"]],
                                   keys).start()
        engines.append(engine)
        proxies.append(await CutProxy(case, name, engine.address).start())
    changelog = await ChangeLog(case).start()
    broker = Broker(case, changelog.address, [server_entry(e.name, p.address) for e, p in zip(engines, proxies)],
                    FRONTS + MYSQL_ENGINES, None, SECRETS)
    await broker.start()
    client = await JsonClient.connect(broker.address)

    def run_of(key):
        found = [r for e in engines for r in e.runs if r.fields.get("unique") == key and r.how != "dropped as a repeat"]
        return min(found, key=lambda r: r.received, default=None)

    async def wait_for_run(key):
        for _ in range(400):
            if run_of(key):
                return run_of(key)
            await asyncio.sleep(0.01)
        raise CannotRun("no engine got the load")

    async def lookups(count):
        answers = [client.send("lookup", request("SELECT a FROM marks_%d.tasks" % i, 1900, cpu=30.0))[1]
                   for i in range(count)]
        await asyncio.gather(*answers)

    breaks = []
    for number in range(ROUNDS):
        for _ in range(10):
            await lookups(5)
        item = "%016x" % random.getrandbits(64)
        first, second = ("%032x" % random.getrandbits(128) for _ in range(2))
        statement = "INSERT INTO marks_%d.tasks VALUES (%d)"
        case.record("client: load 1 of key", item, "unique", first)
        txn = request(statement % (20 + number, 1), 25000, unique=first, item=item, cpu=4000.0)
        number_of_first, _ = client.send("load", txn)
        run = await wait_for_run(first)
        await asyncio.sleep(1)
        if TROUBLE:
            proxies[engines.index(run.engine)].cut(CUT)
        await asyncio.sleep(GIVE_UP - 1)
        case.record("client: cancels load 1")
        client.writer.write(json.dumps({"jsonrpc": "2.0", "id": number_of_first, "method": "cancel",
                                        "params": {"id": number_of_first, "txn": txn["txn"]}}).encode() + b"\n")
        await asyncio.sleep(0.1)
        case.record("client: load 2 of key", item, "unique", second)
        answer = await client.call("load", request(statement % (20 + number, 2), 25000, unique=second, item=item,
                                                   cpu=4000.0))
        case.record("client: load 2 is answered", {k: answer[k] for k in ("result", "error") if k in answer})
        await asyncio.sleep(1)
        one, two = run_of(first), run_of(second)
        if one is None or two is None:
            continue
        end = one.ended or time.time()
        case.record("load 1 was %s on %s for %.2f s; load 2 reached %s %.2f s after load 1 did"
                    % (one.how, one.engine.name, end - one.received, two.engine.name, two.received - one.received))
        if two.received < end - SLACK:
            breaks.append("load 2 of key %s reached %s %.2f s before load 1 of that key ended on %s: both ran at once"
                          % (item, two.engine.name, end - two.received, one.engine.name))
    return breaks


main(HERE, play)
