"""Stand-ins of the platform for the review's scripts: store, backend servers,
clients and the processes of the edge program, all on loopback addresses.

Python's standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# The names on the wire, by the constants that the adapter has for them.
WIRE = dict(re.findall(
    r'constexpr const char\* (k\w+) = "([^"]*)"',
    (ROOT / "platform/wire_names.h").read_text(encoding="utf-8")))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


HOST = "plans.example"


def service(name, connections=440):
    """A service, as the operator's configuration has it."""
    return dict(Name=name, HealthPath="/health", MaxConns=connections,
                Protocol="h1", Tls=False, WarmupS=3.0, WarmupPerS=0.0)


def route(name, to, **more):
    """A route to one service, for all paths below /NAME/."""
    return dict(dict(Name=name, Host=HOST, Prefix=f"/{name}/",
                     RouteType="idempotent", TimeoutMs=4000, ObjectiveMs=600,
                     Priority=2, MaxAttempts=2, Service=to), **more)


def gather(name, shards, top, least):
    """A route over many shards, for all paths below /NAME/."""
    asked = route(name, None, TimeoutMs=800, ObjectiveMs=150, Gather=shards,
                  TopK=top, MinCoverage=least)
    del asked["Service"]
    return asked


def config(version, routes, services):
    return dict(Version=version, Routes=routes, Services=services,
                Limits=dict(MaxHeaderBytes=16384, MaxBodyBytes=262144,
                            HeaderTimeoutMs=3000, IdleTimeoutMs=15000))


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free now, below those of outgoing connections, so that
    none of these takes one while a process is restarted."""
    held = []
    while len(held) < count:
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", random.randrange(12_000, 32_000)))
        except OSError:
            sock.close()
            continue
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


async def read_head(reader):
    """First line and headers (names in lower case); None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, headers=(), body=b"", reason=None):
    lines = [f"HTTP/1.1 {status} {reason or REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store. Each machine has a port of its own, so
    that the store can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.refuses = set()  # ports that get 503
        self.servers = []
        self.calls = {}

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {"Key": key, "Value": base64.b64encode(raw).decode(),
                "Revision": self.revision,
                "Created": old["Created"] if old else self.revision, "Lease": 0}
        self.items[key] = item
        await self.publish(item)

    async def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self.publish({"Key": key, "Revision": self.revision,
                            "Deleted": True})

    async def publish(self, event):
        self.events.append(event)
        self.record.note(f"store acknowledged {event['Key']} at revision "
                         f"{event['Revision']}"
                         + (" (deleted)" if event.get("Deleted") else ""))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                target = urlsplit(head[0].split(" ")[1])
                query = {name: values[0] for name, values in
                         parse_qs(target.query, True).items()}
                status, content = await self.answer(port, target.path, query)
                writer.write(encode(status, [("Content-Type",
                                              "application/json")],
                                    json.dumps(content).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, port, path, query):
        self.calls[port] = self.calls.get(port, 0) + 1
        if port in self.refuses:
            self.record.note(f"store at port {port} answered 503 to {path}")
            return 503, {}
        prefix = query.get("Prefix", "")
        if path == WIRE["kRangePath"]:
            after = query.get("after", "")
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > after)
            return 200, dict(items=[self.items[key] for key in keys[:500]],
                             HasMore=len(keys) > 500, AsOf=self.revision)
        if path == WIRE["kWatchPath"]:
            after = int(query["after"])
            wait_ms = next(value for name, value in query.items()
                           if name.startswith("Wait"))
            end = time.monotonic() + int(wait_ms) / 1000
            if after > self.revision:
                return 410, {}
            while True:
                events = [event for event in self.events
                          if event["Revision"] > after
                          and event["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if port in self.refuses:
                    return 503, {}
                if events or left <= 0:
                    return 200, dict(events=events, AsOf=self.revision)
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Server:
    """A backend server. Subclasses change how it answers."""

    def __init__(self, record, ident, service, zone="z1"):
        self.record = record
        self.ident = ident
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, request's id)
        self.port = 0
        self.listener = None

    async def start(self, store, state="ready"):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        await self.register(store, state)

    async def register(self, store, state="ready"):
        self.sequence += 1
        await store.put(WIRE["kServerPrefix"] + self.ident, dict(
            Service=self.service, Address=f"127.0.0.1:{self.port}",
            Zone=self.zone, Version="v1", Slots=4, State=state,
            WarmupLeftMs=0, Sequence=self.sequence, born=self.born))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.handle(head[0], head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stamp(self, attempt):
        return f"{self.ident}.{attempt}"

    def body_for(self, attempt):
        return f"{self.service} {attempt} ".encode() * 8

    async def handle(self, line, headers, body, writer):
        """Answers one request; returns False to close the connection."""
        if line.split(" ")[1] == "/health":
            writer.write(encode(200, [(WIRE["kServerId"], self.ident),
                                      (WIRE["kServerLoad"], "0,0,4")]))
            await writer.drain()
            return True
        attempt = headers.get(WIRE["kRequestId"].lower(), "")
        if headers.get(WIRE["kExpectedServer"].lower(), self.ident) != self.ident:
            writer.write(encode(421, [(WIRE["kServerId"], self.ident),
                                      (WIRE["kRequestId"], attempt)]))
            await writer.drain()
            return True
        self.runs.append((self.record.now(), attempt))
        self.record.note(f"server {self.ident} of {self.service} ran {attempt}: "
                         f"{line}")
        return await self.answer(attempt, line, body, writer)

    def whole_answer(self, attempt, body):
        return encode(200, [(WIRE["kRequestId"], attempt),
                            (WIRE["kSignature"], self.stamp(attempt)),
                            (WIRE["kServerLoad"], "1,0,4")], body)

    async def answer(self, attempt, line, body, writer):
        writer.write(self.whole_answer(attempt, self.body_for(attempt)))
        await writer.drain()
        return True


class Edge:
    """One machine of the system, run with the command of the deploy file."""

    def __init__(self, rig, ident, zone="z1", seeds=None, cores=0.25):
        self.rig = rig
        self.ident = ident
        self.front, self.ready, self.metrics, self.control = free_ports(4)
        self.settings = rig.folder / f"{ident}.json"
        self.process = None
        self.zone = zone
        self.cores = cores
        self.seeds = seeds
        self.store_port = None

    async def prepare(self, store):
        self.store_port = await store.listen()

    def write_settings(self, seeds, memory_mb=260):
        address = "127.0.0.1"
        self.settings.write_text(json.dumps({
            "id": self.ident, "domain": self.zone,
            "caller_listen": f"{address}:{self.front}",
            "ready_listen": f"{address}:{self.ready}",
            "metrics_listen": f"{address}:{self.metrics}",
            "source": f"{address}:{self.store_port}",
            "peer_listen": f"{address}:{self.control}",
            "seeds": seeds, "core_share": self.cores,
            "source_contact_ms": 5000, "threads": 1, "memory_mb": memory_mb,
            "max_descriptors": 4100, "stop_grace_s": 6,
            "server_choice": "least_cost", "extra_request_share": 0.17}))

    def start(self):
        log = open(self.rig.folder / f"{self.ident}.log", "ab")
        self.process = subprocess.Popen(
            ["target/banyanknot_edge"], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 WIRE["kSettingsVariable"]: str(self.settings)})
        log.close()
        self.rig.record.note(f"process {self.ident} started")

    def signal(self, number):
        self.rig.record.note(f"process {self.ident} got "
                             f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_end(self, limit):
        end = time.monotonic() + limit
        while self.process.poll() is None:
            if time.monotonic() > end:
                return None
            await asyncio.sleep(0.02)
        self.rig.record.note(f"process {self.ident} ended with "
                             f"{self.process.returncode}")
        return self.process.returncode

    async def is_ready(self):
        try:
            answer = await call(self.ready, "GET", WIRE["kReadyPath"], {},
                                limit=1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer[0] == 200

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.ident} is not ready")


async def read_answer(reader):
    """(status, headers, body) of a complete answer; None for any other end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[0].split(" ")[1]), head[1], body


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(port, method, path, headers, body=b"", limit=5):
    """One request on a new connection."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection("127.0.0.1", port), 1)
    try:
        writer.write(request_bytes(method, path, headers, body))
        return await asyncio.wait_for(read_answer(reader), limit)
    except ConnectionError:
        return None
    finally:
        writer.close()


def request_headers(attempt, deadline):
    return {"Host": HOST, WIRE["kRequestId"]: attempt,
            WIRE["kDeadline"]: deadline}


class Rig:
    """Owns the folder, the record and the processes of one case."""

    def __init__(self, case):
        self.case = Path(case)
        self.record = Record(self.case)
        self.folder = Path(tempfile.mkdtemp(prefix="banyanknot-review-"))
        self.edges = []
        self.count = 0

    def edge(self, ident, **more):
        edge = Edge(self, ident, **more)
        self.edges.append(edge)
        return edge

    def attempt(self):
        self.count += 1
        return f"a{self.count:05d}"

    async def ask(self, edge, path, method="GET",
                  body=b"", deadline=2000):
        """A client's attempt; returns (its id, the answer or None)."""
        attempt = self.attempt()
        self.record.note(f"client sent {attempt} to {edge.ident}: {method} "
                         f"{path}")
        try:
            answer = await call(edge.front, method, path,
                                request_headers(attempt, deadline), body,
                                deadline / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        self.record.note(f"client got for {attempt}: "
                         + (f"{answer[0]} {answer[2][:48]!r}" if answer
                            else "no complete answer"))
        return attempt, answer

    def close(self):
        for edge in self.edges:
            if edge.process and edge.process.poll() is None:
                edge.process.send_signal(signal.SIGCONT)
                edge.process.kill()
                edge.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, body):
    """Runs `body(rig)`, which returns (broken, verdict); exits with 0, 1, 2."""
    rig = Rig(case)
    status = 2
    try:
        if not (ROOT / "target/banyanknot_edge").exists():
            raise CannotRun("target/banyanknot_edge has not been built")
        broken, verdict = asyncio.run(asyncio.wait_for(body(rig), 110))
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        verdict = f"could not run: {error!r}"
    finally:
        rig.close()
    rig.record.note(f"verdict: {verdict}")
    print(verdict)
    sys.exit(status)
