"""Case 6: the change log is slow while an engine is replaced by one of another cell at the same address. The broker never
hears of it, and later repeats loads there that have run in the old engine's cell: they are applied twice."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from rig import *  # noqa: E402,F403

LATE = float(os.environ.get("LATE", "2.0"))  # seconds by which each answer of the change log comes late
TOLD_AT_THE_LATEST = 7.0  # PROTOCOL: "counts as told 7 s later at the latest, whether or not it arrived"
CELLS = {"s-0000000a": 1, "s-0000000b": 1, "s-0000000c": 2, "s-0000000d": 2, "s-0000000e": 2, "s-0000000f": 2}
WORK = 4.0     # seconds that a load runs
TEAMS = ["lycee-ennour", "ecole-el-amal"]
LOADS = 8      # a second


async def play(case):
    seen = {1: {}, 2: {}}  # the keys that each cell has seen

    def engine_of(name, cell):
        return HttpEngine(case, name, lambda fields: WORK if fields["x-queue"] == "load" else 0.05,
                          lambda statement: "" if "INSERT" in statement else "1\t2\t3\n", seen[cell])

    engines = {name: await engine_of(name, cell).start() for name, cell in CELLS.items()}
    slow = {"by": 0.0}
    changelog = await ChangeLog(case, lambda: slow["by"]).start()
    conf = settings()
    conf["classes"][2]["group"] = "cell"
    broker = Broker(case, changelog.address,
                    [server_entry(n, e.address, cell=CELLS[n]) for n, e in engines.items()], None, conf)
    await broker.start()
    clients = [await JsonClient.connect(broker.address) for _ in range(4)]
    for client in clients:
        await client.call("health", {})
    answers, items = {}, {}

    lookups = []

    async def traffic(seconds):
        until = time.time() + seconds
        while time.time() < until:
            for _ in range(3):
                lookups.append(random.choice(clients).send("lookup", request(
                    "SELECT 1 FROM marks_%d.tasks" % random.randrange(1000), 1900, random.choice(TEAMS), cpu=50.0))[1])
            key = "%032x" % random.getrandbits(128)
            answers[key] = random.choice(clients).send("load", request(
                "INSERT INTO marks_%d.tasks VALUES (1)" % random.randrange(1000), 24000, random.choice(TEAMS), cpu=4000.0, unique=key,
                item="%016x" % random.getrandbits(64)))[1]
            await asyncio.sleep(1 / LOADS)

    await traffic(3)
    if TROUBLE:
        slow["by"] = LATE
        case.record("the change log is slow from now on")
    await traffic(3)
    # The release: an engine ends, and one of another cell begins at its address. Drained first, as the page wants.
    old, address = engines["s-0000000b"], engines["s-0000000b"].address
    changelog.tell([server_entry(old.name, address, "terminating", 1)])
    case.record("the change log holds:", old.name, "drains")
    await traffic(9)
    old.end()
    await asyncio.sleep(0.2)
    new = await engine_of("s-00000010", 2).start(address)
    told = changelog.tell([server_entry(old.name, address, "terminated", 1),
                           server_entry(new.name, address, "in_service", 2, int(time.time() * 1000))])
    case.record("the change log holds:", old.name, "is gone;", new.name, "of cell 2 is at", address)
    await traffic(20)  # the new engine gets warm (15 s), and the 7 s pass
    failed = engines["s-0000000a"]
    case.record(failed.name, "of cell 1 dies")
    died = time.time()
    failed.end()
    await traffic(4)
    await asyncio.gather(*lookups)
    results = {key: await answer for key, answer in answers.items()}
    counts = {}
    for answer in results.values():
        kind = "served" if "result" in answer else answer.get("error", {}).get("code", "closed")
        counts[kind] = counts.get(kind, 0) + 1
    case.record("answers:", counts)
    print(counts)
    if counts.get("served", 0) < 50:
        raise CannotRun("too few loads were served: %r" % counts)
    runs = {}
    for engine in [*engines.values(), new]:
        cell = 2 if engine is new else CELLS[engine.name]
        for began, key in engine.runs:
            runs.setdefault(key, []).append((began, engine.name, cell))
    breaks = []
    for key, of_key in runs.items():
        of_key.sort()
        for began, name, cell in of_key[1:]:
            if cell != of_key[0][2] and began > told + TOLD_AT_THE_LATEST + SLACK:
                breaks.append("load %s ran on %s of cell %d, and %.2f s later again on %s of cell %d, %.1f s after the "
                              "change log held that engine" % (key, of_key[0][1], of_key[0][2], began - of_key[0][0],
                                                               name, cell, began - told))
    return breaks


main(HERE, play)
