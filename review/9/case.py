"""Case 9: some engines' answers have a length that does not fit. The broker serves the part of the rows that it covers, if it
happens to end with a row, although it sees that more follows."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from rig import *  # noqa: E402,F403

SHARE = 0.1      # of the good answers have a length that is too small
SECONDS = 50
RATE = 35        # lookups a second


async def play(case):
    def rows(statement):
        first = int(statement.rsplit(" ", 1)[1])
        return "".join("%d\tmark\t%02d\n" % (first, i) for i in range(30))

    engines = [await HttpEngine(case, name, lambda fields: random.uniform(0.02, 0.06), rows).start()
               for name in ("s-0000000a", "s-0000000b", "s-0000000c", "s-0000000d")]
    spoilt = [0]

    def reply(head, body, status):
        if not TROUBLE or status != 200 or len(body) < 2 or random.random() >= SHARE:
            return head + body
        spoilt[0] += 1
        length = random.randrange(1, len(body))
        return head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % length) + body

    changelog = await ChangeLog(case).start()
    broker = Broker(case, changelog.address, [server_entry(e.name, e.address) for e in engines])
    await broker.start()
    for engine in engines:
        engine.quiet, engine.reply = True, reply
    clients = [await JsonClient.connect(broker.address) for _ in range(4)]
    for client in clients:
        await client.call("health", {})
    counts = {"whole": 0, "in part": 0, "not served": 0}
    breaks = []

    async def lookup():
        pupil = random.randrange(10 ** 8, 10 ** 9)
        answer = await random.choice(clients).call("lookup", request(
            "SELECT pupil, mark, day FROM marks_%d.tasks WHERE pupil = %d" % (pupil % 50, pupil), 1900,
            random.choice(["lycee-ennour", "ecole-el-amal"]), cpu=50.0))
        if "result" not in answer:
            counts["not served"] += 1
            return
        got, whole = base64.b64decode(answer["result"]["data"]).decode(), rows(str("x %d" % pupil))
        if got == whole:
            counts["whole"] += 1
            return
        counts["in part"] += 1
        case.record("a lookup for", pupil, "was served", got.count("\n"), "of", whole.count("\n"), "rows:", repr(got[-40:]))
        breaks.append("a lookup for pupil %d was served %d of its %d rows" % (pupil, got.count("\n"), whole.count("\n")))

    until, tasks = time.time() + SECONDS, []
    while time.time() < until:
        tasks.append(asyncio.ensure_future(lookup()))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    case.record("lookups:", counts, "answers with a length that is too small:", spoilt[0])
    print(counts, "spoilt answers:", spoilt[0])
    if counts["whole"] < 200:
        raise CannotRun("too few lookups were served: %r" % counts)
    return breaks


main(HERE, play)
