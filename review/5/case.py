"""Relays exceed their memory because a replica's report does not end, and are killed for it."""

import asyncio
import os
import random
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import lab as labs  # noqa: E402

REPLICAS, EVENTS, PAUSE_S, PER_S, LENGTH = 3, 12, 0.05, 18, 75.0
# Prompts share one of these first parts; the gateways keep each at one replica.
SHARED = ["5c1e07%02x" % number for number in range(40)]
# Once in six seconds, two of the three replicas (share 0.6) spoil 3 in 100 of their answers (x 0.03
# for 5 s): instead of a body, bytes follow that do not end, up to this many.
PERIOD, FIRST, GARBLE_X, GARBLE_FOR, SPOILED_BYTES = 6.0, 3.0, 0.03, 5.0, 400 << 20
MEMORY_MB, RESTART_S = 192, 0.5
# The rule: processes end by themselves this often, on this many machines.
ENDS, MACHINES = 3, 2


def memory_mb(pid):
    try:
        with open("/proc/%d/statm" % pid, encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except OSError:
        return 0.0


async def case(lab):
    loop = asyncio.get_running_loop()
    begin = [None]
    garbled = {"i-00000001", "i-00000002"}
    blank = b" " * (1 << 20)

    def spoils(replica):
        if not labs.TROUBLE or begin[0] is None or replica.id not in garbled:
            return False
        at = loop.time() - begin[0] - FIRST
        return at >= 0 and at % PERIOD < GARBLE_FOR and random.random() < GARBLE_X

    class ModelReplica(labs.Replica):
        async def answer(self, head, body, writer, number):
            if not spoils(self):
                return await super().answer(head, body, writer, number)
            lab.record("%s spoils its answer to %s" % (self.id, head.line))
            fields = labs.signed(head) if head.get("x-attempt-id") else []
            lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % field for field in fields]
            lines.append("Content-Length: %d" % SPOILED_BYTES)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            sent = 0
            while sent < SPOILED_BYTES and not writer.transport.is_closing():
                writer.write(blank)
                await writer.drain()
                sent += len(blank)
            return False

    async def run(replica, head, body, writer, number):
        attempt = head.get("x-attempt-id")
        lab.record("%s runs %s" % (replica.id, attempt))
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % field for field in labs.signed(
            head, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"))]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        replica.runs[attempt] = 0
        try:
            for event in range(1, EVENTS + 1):
                data = b"id: %d\ndata: %s %d\n\n" % (event, attempt.encode(), event)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                replica.runs[attempt] = event
                await asyncio.sleep(PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            replica.runs.pop(attempt, None)

    replicas = [ModelReplica(lab, "i-%08x" % n, "levy-llm", lab.ip(2, n), lab.base + 10, run, 64)
                for n in range(1, REPLICAS + 1)]
    for replica in replicas:
        await replica.start()
    lab.store.put("config", "main", labs.config(
        7, [labs.route("recon", "streaming", "levy-llm", timeout_ms=15000, goal_ms=1000, priority=1,
                       max_attempts=1, session_affinity=True, gap_aim_ms=600)],
        [labs.service("levy-llm", 64, 360)], [dict(labs.TENANT, prepaid=273053300)]))
    relays = {n: lab.start_relay(n, replicas[n - 1].address) for n in range(1, REPLICAS + 1)}
    await lab.wait_relays(REPLICAS)
    entries = [lab.start_entry(number) for number in (1, 2)]
    for entry in entries:
        await lab.wait_ready(entry)
    await asyncio.sleep(2.0)

    # The platform kills a process whose memory is over the limit, and starts it again.
    ends, running = {n: 0 for n in relays}, [True]

    def watch_memory():
        while running[0]:
            for number, child in list(relays.items()):
                used = memory_mb(child.pid) if child.poll() is None else 0.0
                if used > MEMORY_MB * 1.048576:
                    lab.record("the relay beside replica %d uses %.0f MB of %d and is killed" % (
                        number, used, MEMORY_MB))
                    child.send_signal(signal.SIGKILL)
                    child.wait()
                if child.poll() is not None:
                    ends[number] += 1
                    time.sleep(RESTART_S)
                    if running[0]:
                        relays[number] = lab.start_relay(number, replicas[number - 1].address)
            time.sleep(0.005)

    watcher = threading.Thread(target=watch_memory)
    watcher.start()
    begin[0] = loop.time()
    statuses = {}

    async def ask(entry):
        attempt = labs.new_attempt()
        fields = labs.client_fields(
            attempt, 15000, ("X-Model", "m"), ("X-Token-Usage", "11992,72"),
            ("X-Prefix-Hash", "%s:5382,%s:6610" % (random.choice(SHARED), attempt[:8])))
        lab.record("client sends POST /recon/2f %s" % attempt)
        answer = await labs.call(entry.front, "POST", "/recon/2f", fields, b"r" * 2000, 6.0)
        lab.record("client gets %s for %s" % (answer, attempt))
        statuses[answer.status] = statuses.get(answer.status, 0) + 1

    tasks = []
    try:
        while loop.time() - begin[0] < LENGTH:
            tasks.append(asyncio.ensure_future(ask(random.choice(entries))))
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.gather(*tasks)
    finally:
        running[0] = False
        watcher.join()
    lab.record("answers by status: %s; relays that ended by themselves: %s" % (statuses, ends))
    if statuses.get(200, 0) < len(tasks) / 4:
        raise labs.CannotRun("under a quarter of the requests were served: %s" % statuses)
    often = [number for number, count in ends.items() if count >= ENDS]
    if len(often) < MACHINES:
        return []
    return ["the relay beside replica %d ended by itself %d times" % (n, ends[n]) for n in often]


if __name__ == "__main__":
    labs.main(FOLDER, case)
