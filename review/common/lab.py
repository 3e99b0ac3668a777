"""Stand-ins and process control for the cases of the review that are scripts.

Python's standard library only. All traffic stays on loopback addresses; each machine of the small
deployment has an address of its own in 127.0.0.0/8, so that ports are the same on all machines.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAGE_SIZE = 500


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def free_ports(ips, count):
    """Returns the first of `count` consecutive ports that are free on all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 32000 - count)
        held = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    sock = socket.socket()
                    held.append(sock)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CannotRun("no free ports")


# --- HTTP ---------------------------------------------------------------------------------------


class Head:
    """Head of a message: its first line and its fields, in order."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.line = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        name = name.lower()
        return next((value for known, value in self.fields if known == name), default)

    @property
    def method(self):
        return self.line.split(" ")[0]

    @property
    def target(self):
        return self.line.split(" ")[1]

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    return Head(data.decode("latin-1"))


async def read_chunked(reader):
    """Yields the data of the chunks; raises ValueError at bytes that are no chunked coding."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.strip().split(b";")[0] or b"-", 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        data = await reader.readexactly(size)
        end = await reader.readexactly(2)
        if end != b"\r\n":
            raise ValueError("no line end after a chunk: %r" % (data + end))
        yield data


async def read_body(reader, head):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        return b"".join([part async for part in read_chunked(reader)])
    return await reader.readexactly(int(head.get("content-length") or 0))


class Answer:
    """What a client received for one request."""

    def __init__(self):
        self.status = None
        self.head = None
        self.body = b""
        self.error = None

    def __str__(self):
        if self.status is None:
            return "no answer (%s)" % self.error
        code = self.head.get("toucanrail-result") if self.head else None
        signed = "signed" if self.head.get("x-replica-signature") else "unsigned"
        return "%d %s%s%s" % (
            self.status, signed, ", code %s" % code if code else "",
            ", broken off: %s" % self.error if self.error else "",
        )


async def call(address, method, path, fields, body=None, timeout=5.0, host="desk.example"):
    """Sends one request on a new channel and reads the whole answer."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        writer.write(encode_request(method, path, fields, body, host))
        answer.head = await asyncio.wait_for(read_head(reader), timeout)
        answer.status = answer.head.status
        answer.body = await asyncio.wait_for(read_body(reader, answer.head), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = "%s %s" % (type(error).__name__, error)
    finally:
        if writer:
            writer.close()
    return answer


def encode_request(method, path, fields, body, host):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s" % host]
    lines += ["%s: %s" % field for field in fields]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """The platform's metadata store: objects by kind and name, with one revision counter."""

    def __init__(self, ip, port):
        self.address = (ip, port)
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object, as the operator or a replica does."""
        return self.write(kind, name, {"spec": spec})

    def remove(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            gone = json.loads(json.dumps(known))
            gone["metadata"]["revision"] = self.revision
            self.events.append((self.revision, kind, {"removed": True, "object": gone}))
            self.notify()

    def write(self, kind, name, change):
        kinds = self.objects.setdefault(kind, {})
        old = kinds.get(name)
        new = json.loads(json.dumps(old)) if old else {
            "metadata": {"name": name, "revision": 0, "create_revision": self.revision + 1,
                         "finalizers": [], "deleting": False},
            "spec": None, "status": None,
        }
        new.update(change)
        if old and new == old:
            return old
        self.revision += 1
        new["metadata"]["revision"] = self.revision
        kinds[name] = new
        self.events.append((self.revision, kind, {"removed": False, "object": new}))
        self.notify()
        return new

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                status, answer = await self.answer(head, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body):
        url = urllib.parse.urlsplit(head.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.strip("/").split("/")]
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, None
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        await asyncio.sleep(0.004)
        if head.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        known = self.objects.setdefault(kind, {})
        if head.method == "GET" and name is None:
            names = sorted(known)
            if "after" in query:
                names = [item for item in names if item > query["after"]]
            page = [known[item] for item in names[:PAGE_SIZE]]
            return 200, {"items": page, "has_more": len(names) > PAGE_SIZE,
                         "store_revision": self.revision}
        if head.method == "GET":
            return (200, known[name]) if name in known else (404, None)
        sent = json.loads(body or b"{}")
        expected = (sent.get("metadata") or {}).get("revision") or query.get("revision")
        if head.method == "POST":
            name = sent["metadata"]["name"]
            if name in known:
                return 409, known[name]
            return 200, self.write(kind, name, {"spec": sent.get("spec")})
        if name not in known:
            return 404, None
        if expected is not None and int(expected) != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if head.method == "PUT":
            part = "status" if parts[4:] == ["status"] else "spec"
            return 200, self.write(kind, name, {part: sent.get(part)})
        if head.method == "DELETE":
            self.remove(kind, name)
            return 200, None
        return 405, None

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            changed = self.changed
            events = [event for revision, known, event in self.events
                      if known == kind and revision > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- Replicas -----------------------------------------------------------------------------------


class Replica:
    """A replica: registers itself, answers health and report, and runs requests.

    `run` is a coroutine of the case that answers one request; it gets the replica, the head, the
    body, the writer and the number of earlier requests on the channel. It returns False to close
    the channel.
    """

    def __init__(self, lab, name, service, ip, port, run, slots=6):
        self.lab, self.id, self.service = lab, name, service
        self.address, self.run, self.slots = (ip, port), run, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = {}
        self.connections = set()
        self.state = "ready"
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.register()
        self.beating = asyncio.ensure_future(self.beat())

    def register(self):
        self.lab.store.put("servers", self.id, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.lab.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq, "born": self.born,
        })

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        number = 0
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                keeps = await self.answer(head, body, writer, number)
                number += 1
                if keeps is False:
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, body, writer, number):
        path = head.target.split("?")[0]
        if path == "/healthz":
            await send(writer, 200, [("X-Replica-Id", self.id)], b"")
        elif path == "/api/report":
            report = {
                "stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": self.seq, "waiting": 0, "running": len(self.runs),
                "kv_used": 0, "kv_total": 500000, "handles": 0, "born": self.born,
                "runs": [[key, 100, events, 1] for key, events in self.runs.items()],
            }
            data = json.dumps(report).encode()
            await send(writer, 200, [("Content-Type", "application/json")], data)
        elif head.get("x-target-replica", self.id) != self.id:
            await send(writer, 421, [("X-Replica-Id", self.id)], b"")
        else:
            return await self.run(self, head, body, writer, number)


async def send(writer, status, fields, body, reason="x"):
    writer.write(encode_answer(status, fields, body, reason))
    await writer.drain()


def encode_answer(status, fields, body, reason="x"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)] + ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def signed(head, *more):
    """Fields of an answer that a replica made."""
    attempt = head.get("x-attempt-id")
    return [("X-Attempt-Id", attempt), ("X-Replica-Signature", "3e1b.07.%s" % attempt), *more]


# --- The deployment -----------------------------------------------------------------------------


class Lab:
    """A small deployment on one zone: a store, relays beside replicas, and entries."""

    def __init__(self, folder):
        self.zone, self.region = "fi-south-a", "fi-south"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.net = random.randrange(16, 240)
        self.children = []
        ips = [self.ip(group, host) for group in range(1, 4) for host in range(1, 10)]
        self.base = free_ports(ips, 16)
        self.store = Store(self.ip(3, 1), self.base + 12)

    def ip(self, group, host):
        return "127.%d.%d.%d" % (self.net, group, host)

    def settings(self, node, ip, front, app=None):
        base = self.base
        text = 'node = "%s"\nrole = "%s"\nmachine_class = "%s"\nserves = ["front"]\nip = "%s"\n' % (
            node, "entry" if front else "relay", "front" if front else "side", ip)
        text += 'zone = "%s"\nregion = "%s"\ninternal_ports = [%d,%d]\n' % (
            self.zone, self.region, base, base + 7)
        text += 'seeds = []\nbootstrap = true\nheartbeat_ms = 1200\n'
        if app:
            text += 'app = "%s:%d"\n' % app
        text += '[zones]\nfi-south-a = "fi-south"\n'
        text += '[listen]\n'
        if front:
            text += 'front = "%s:%d"\nreadiness_address = "%s:%d"\n' % (ip, base + 8, ip, base + 9)
        text += ('[limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\n'
                 'link_mbps = 1000.0\ndisk_mb = 0\n' % (260 if front else 192))
        text += ('[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstability_window_ms = 3000\n'
                 'ack_ms = 4000\ncatch_up_s = 4\ndrain_timeout_ms = 2000\ngrace_s = 8\n'
                 'lost_ms = 200\nconfig_ms = 2000\nback_ms = 250\nouter_ms = 5000\n'
                 'fail_closed = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n'
                 'budget_window_s = 10\nbudget_slack = 52\nrecover_s = 12\npass_ms = 120\n'
                 'again_s = 10\nsettle_ms = 1500\n')
        text += ('[provider]\naddress = "%s:%d"\nform = "objects"\nwrites_per_s = 400\n'
                 'reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n'
                 % self.store.address)
        path = os.path.join(self.temp.name, node + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def spawn(self, program, node, settings):
        path = os.path.join(ROOT, "target", "release", program)
        if not os.path.exists(path):
            raise CannotRun("not built: target/release/%s" % program)
        log = open(os.path.join(self.temp.name, node + ".log"), "ab")
        child = subprocess.Popen([path], cwd=ROOT, env={
            "PATH": os.environ.get("PATH", ""), "TOUCANRAIL_CONFIG": settings,
        }, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.children.append(child)
        self.record("start %s as %s, process %d" % (program, node, child.pid))
        return child

    def start_entry(self, number):
        node, ip = "front-fi-south-a-%d" % number, self.ip(1, number)
        child = self.spawn("toucanrail-gateway", node, self.settings(node, ip, True))
        child.front, child.ready = (ip, self.base + 8), (ip, self.base + 9)
        return child

    def start_relay(self, number, app):
        node, ip = "side-fi-south-a-%d" % number, self.ip(2, number)
        return self.spawn("toucanrail-relay", node, self.settings(node, ip, False, app))

    def replica(self, name, service, number, run, slots=6, group=2):
        return Replica(self, name, service, self.ip(group, number), self.base + 10, run, slots)

    async def wait_ready(self, entry, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await call(entry.ready, "GET", "/api/ready", [], timeout=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("an entry did not become ready")

    async def wait_relays(self, count, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if len(self.store.objects.get("relays", {})) >= count:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the relays did not register")

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.temp.name):
                with open(os.path.join(self.temp.name, name), "rb") as source:
                    with open(os.path.join(keep, name), "wb") as target:
                        target.write(source.read())
        self.temp.cleanup()


def route(name, kind, service, **more):
    return {"name": "r-" + name, "hostname": "desk.example", "path_prefix": "/%s/" % name,
            "route_type": kind, "timeout_ms": 1500, "goal_ms": 150, "priority": 2,
            "service": service, "max_attempts": 2, "public": False, "session_affinity": False,
            "resumable": False, **more}


def config(version, routes, services, tenants):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


def service(name, slots=None, channels=96):
    row = {"name": name, "health_path": "/healthz", "max_connections": channels, "protocol": "h1",
           "tls": False}
    if slots:
        row["engine"] = {"slots": slots, "kv_tokens": 508599, "kv_bytes": 18432, "stride": 6,
                         "moves": True, "backups": True, "most": 12, "pin_ms": 4000.0,
                         "hold_ms": 2000.0, "handle_s": 5.0, "link_mbps": 550000.0,
                         "models": [{"name": "m"}]}
    return row


KEY = "n2ctnfzs989anu6wsjnb"
TENANT = {"name": "hule930", "api_keys": [KEY], "priority": 1, "prepaid": 2730533}


def client_fields(attempt, timeout_ms, *more):
    return [("X-Attempt-Id", attempt), ("X-Timeout-Ms", timeout_ms),
            ("Authorization", "Bearer " + KEY), *more]


def new_attempt():
    return "%016x" % random.getrandbits(64)


def main(folder, case, limit=110.0):
    """Runs a case: a coroutine that gets the lab and returns the list of what broke the rule."""
    lab = None

    async def run():
        nonlocal lab
        lab = Lab(folder)
        lab.record("TROUBLE=%d" % TROUBLE)
        await lab.store.start()
        return await asyncio.wait_for(case(lab), limit)

    code = 2
    # A case that is told to stop ends its processes first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        for line in broken:
            lab.record("BROKEN: " + line)
        lab.record("the rule %s" % ("was broken" if broken else "held"))
        print("%s: the rule %s" % (os.path.basename(folder), "was broken" if broken else "held"))
    except Exception as error:  # Whatever else goes wrong says nothing about the rule.
        code = 2
        print("cannot run: %s %s" % (type(error).__name__, error))
        if lab:
            lab.record("cannot run: %s %s" % (type(error).__name__, error))
    finally:
        if lab:
            lab.stop()
    sys.exit(code)
