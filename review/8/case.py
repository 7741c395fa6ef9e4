"""Case 8: some clients of the MySQL front execute long prepared statements, each with a text of its own. The broker keeps
every text on each of its connections to engines, outside all its bounds, until the platform kills it for its memory."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from rig import *  # noqa: E402,F403

MEMORY_MB = 192        # DEPLOY: "On scored days the limits are no more than 192 MB and 1,024 descriptors"
BYTES = 200_000 if TROUBLE else 200  # of each statement
CLIENTS = 10
SECONDS = 60


def memory_mb(pid):
    with open("/proc/%d/status" % pid) as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


async def play(case):
    engines = [await MysqlEngine(case, name, lambda run: 0.05, lambda run: [["1", "2", "3"]]).start()
               for name in ("s-0000000a", "s-0000000b", "s-0000000c")]
    changelog = await ChangeLog(case).start()
    broker = Broker(case, changelog.address, [server_entry(e.name, e.address) for e in engines],
                    FRONTS + MYSQL_ENGINES, None, SECRETS)
    await broker.start()
    for engine in engines:
        engine.quiet = True
    until = time.time() + SECONDS
    counts = {"sent": 0, "bytes": 0, "rows": 0, "error": 0, "unanswered": 0}
    peak = {"mb": 0.0}
    killed = []

    async def platform():
        """The platform: over `memory_mb` the broker is killed."""
        written = 0
        while time.time() < until:
            if broker.process.returncode is not None:
                killed.append("the broker exited with %s" % broker.process.returncode)
                return
            used = memory_mb(broker.process.pid)
            peak["mb"] = max(peak["mb"], used)
            if time.time() - case.record.began > written:
                case.record("platform: the broker uses %.0f MB" % used, counts)
                written += 2
            if used > MEMORY_MB:
                killed.append("the broker uses %.0f MB, its limit is %d MB: the platform kills it" % (used, MEMORY_MB))
                case.record("platform:", killed[0])
                broker.process.kill()
                return
            await asyncio.sleep(0.05)

    async def client_of(number):
        client = await MysqlClient.connect(broker.mysql_address)
        while time.time() < until and not killed:
            pupils = ",".join("%09d" % random.randrange(10 ** 9) for _ in range(BYTES // 10))
            counts["sent"] += 1
            counts["unanswered"] += 1
            counts["bytes"] += BYTES
            statement = await client.prepare("SELECT mark FROM marks_%d.tasks WHERE term = ? AND pupil IN (%s)"
                                             % (number % 4, pupils))
            answer = await client.execute(statement, ["2026-1"])
            client.command(b"\x19" + statement.to_bytes(4, "little"))  # the client is done with the statement
            counts[answer[0]] += 1
            counts["unanswered"] -= 1
            await asyncio.sleep(random.expovariate(1 / 0.3))
        client.close()

    await asyncio.gather(platform(), *(client_of(n) for n in range(CLIENTS)), return_exceptions=True)
    case.record("clients:", counts, "peak: %.0f MB" % peak["mb"])
    print(counts, "peak %.0f MB" % peak["mb"])
    if counts["rows"] < 100:
        raise CannotRun("too few requests were served: %r" % counts)
    if killed:
        killed[0] += "; %d requests that it had taken are unanswered" % counts["unanswered"]
    return killed


main(HERE, play)
