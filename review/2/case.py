"""A caller of a stream gets the head of another replica's failure in the middle of its body."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import lab as labs  # noqa: E402

REPLICAS, EVENTS, PAUSE_S = 3, 40, 0.06
PER_S, LENGTH = 12, 50.0
# Once in ten seconds: one of the three replicas is dark (4.5 s of 4.5 s), and another one fails
# (x 0.45 for 6.5 s of 6.5 s).
PERIOD, FIRST, DARK_FOR, GREY_X, GREY_FOR = 10.0, 3.0, 4.5, 0.45, 6.5


async def case(lab):
    loop = asyncio.get_running_loop()
    begin = [None]

    def is_on(length):
        if not labs.TROUBLE or begin[0] is None:
            return False
        at = loop.time() - begin[0] - FIRST
        return at >= 0 and at % PERIOD < length

    class ModelReplica(labs.Replica):
        def is_dark(self):
            return self.id == "i-00000001" and is_on(DARK_FOR)

        async def answer(self, head, body, writer, number):
            while self.is_dark():
                await asyncio.sleep(0.05)
            return await super().answer(head, body, writer, number)

    async def run(replica, head, body, writer, number):
        attempt = head.get("x-attempt-id")
        after = int(head.get("last-event-id") or 0)
        lab.record("%s gets %s, Last-Event-Id %d" % (replica.id, attempt, after))
        if replica.id == "i-00000002" and is_on(GREY_FOR) and random.random() < GREY_X:
            lab.record("%s answers %s with a failure, 409" % (replica.id, attempt))
            await labs.send(writer, 409, labs.signed(head), b"not here", "Conflict")
            return
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % field for field in labs.signed(
            head, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"))]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        replica.runs[attempt] = 0
        try:
            for event in range(after + 1, EVENTS + 1):
                while replica.is_dark():
                    await asyncio.sleep(0.05)
                data = b"id: %d\ndata: %s %d\n\n" % (event, attempt.encode(), event)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                if writer.is_closing() or writer.transport.is_closing():
                    return False
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
        7, [labs.route("query", "streaming", "levy-llm", timeout_ms=12000, goal_ms=500, priority=0,
                       session_affinity=True, resumable=True, gap_aim_ms=600)],
        [labs.service("levy-llm", 64, 360)], [labs.TENANT]))
    for replica, number in zip(replicas, range(1, 4)):
        lab.start_relay(number, replica.address)
    await lab.wait_relays(3)
    entries = [lab.start_entry(number) for number in (1, 2)]
    for entry in entries:
        await lab.wait_ready(entry)
    await asyncio.sleep(2.0)

    begin[0] = loop.time()
    broken, ends = [], {}

    async def ask(entry):
        attempt = labs.new_attempt()
        fields = labs.client_fields(
            attempt, 12000, ("X-Model", "m"), ("X-Token-Usage", "826,240"),
            ("X-Prefix-Hash", "5c1e07a2:198,%s:628" % attempt[:8]))
        lab.record("client sends POST /query/2f %s" % attempt)
        writer, status, end, count = None, None, "complete", 0
        try:
            reader, writer = await asyncio.open_connection(*entry.front)
            writer.write(labs.encode_request("POST", "/query/2f", fields, b"r" * 830,
                                             "desk.example"))
            head = await asyncio.wait_for(labs.read_head(reader), 4.0)
            status = head.status
            if status == 200:
                while True:
                    line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 5.0)
                    try:
                        size = int(line.strip(), 16)
                    except ValueError:
                        rest = await asyncio.wait_for(reader.read(400), 2.0)
                        lab.record("client of %s reads where a chunk begins: %r" % (
                            attempt, line + rest))
                        broken.append("%s: after %d events of a 200 the client gets %r, which is no"
                                      " part of an answer" % (attempt, count, line))
                        end = "spoiled"
                        break
                    await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    count += 1
            else:
                end = "refused or failed"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            end = "broken off, %s" % type(error).__name__
        finally:
            if writer:
                writer.close()
        lab.record("client gets %s for %s, %d chunks, %s" % (status, attempt, count, end))
        ends[end] = ends.get(end, 0) + 1

    tasks = []
    while loop.time() - begin[0] < LENGTH:
        tasks.append(asyncio.ensure_future(ask(random.choice(entries))))
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.gather(*tasks)
    lab.record("ends: %s" % ends)
    if ends.get("complete", 0) < len(tasks) / 2:
        raise labs.CannotRun("under half of the streams were complete: %s" % ends)
    return broken


if __name__ == "__main__":
    labs.main(FOLDER, case)
