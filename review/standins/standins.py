"""Stand-ins for the users' platform, backend servers and clients, on loopback.

The names that go over the wire come from platform/wire_names.h, the project's
one file of them. Everything runs on one asyncio loop; only the edge programs
are separate processes, started with the `run` line of the deploy file.
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
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HISTORY_S = 20.0  # of the store, as in the site file
RANGE_ITEMS = 500
RANGE_BYTES = 1 << 20
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def read_wire_names():
    with open(os.path.join(ROOT, "platform", "wire_names.h"),
              encoding="utf-8") as header:
        found = re.findall(r"const char\* k(\w+) = \"([^\"]+)\"", header.read())
    return dict(found)


WIRE = read_wire_names()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """record.txt: what was sent, answered and run, with seconds from start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:8.3f} {kind} {text}\n")

    def say(self, text):
        self.write("note", text=text)
        self.file.flush()
        try:
            print(text, flush=True)
        except BrokenPipeError:
            sys.stdout = open(os.devnull, "w", encoding="utf-8")

    def close(self):
        self.file.close()


class Message:
    """One HTTP request or response."""

    def __init__(self, start_line, headers, body=b""):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    def encode(self):
        lines = [self.start_line]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, headers=(), body=b""):
    return Message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}",
                   list(headers) + [("Content-Length", str(len(body)))], body)


async def read_message(reader, prefix=b""):
    """Returns the next message; None if the connection ended before one."""
    try:
        head = prefix + await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(lines[0], headers)
    length = int(message.get("Content-Length", "0") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store: ranges, watches and what the operator writes."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []  # (revision, time, event)
        self.dropped_revision = 0
        self.revision = 100
        self.changed = asyncio.Event()
        self.calls = []  # (time, machine, target)
        self.address = None
        self.listeners = []
        self.unanswered = set()  # names of machines that get no response

    async def start(self):
        self.address = await self.listen_for("anyone")

    async def listen_for(self, machine):
        """Returns an address of the store that only `machine` uses."""
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(machine, reader, writer),
            "127.0.0.1", 0)
        self.listeners.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def drop_history(self):
        """Discards all history; watches that wait are answered with 410."""
        self.events.clear()
        self.dropped_revision = self.revision
        self.record.write("store_drops_history", revision=self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def _publish(self, event):
        now = time.monotonic()
        self.events.append((self.revision, now, event))
        while self.events and now - self.events[0][1] > HISTORY_S:
            self.dropped_revision = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, document):
        self.revision += 1
        text = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items[key]["Created"] if key in self.items else \
            self.revision
        item = dict(Key=key, Value=text, Revision=self.revision,
                    Created=created, Lease=0)
        self.items[key] = item
        self._publish(item)
        self.record.write("store_put", key=key, revision=self.revision)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._publish(dict(Key=key, Revision=self.revision, Deleted=True))
        self.record.write("store_delete", key=key, revision=self.revision)

    async def serve(self, machine, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                self.calls.append((time.monotonic(), machine, request.target))
                path, _, query = request.target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, True))
                wait = re.search(r"WaitMs=(\d+)", query)
                if path == WIRE["RangePath"]:
                    answer = self.range(fields)
                elif path == WIRE["WatchPath"]:
                    answer = await self.watch(
                        fields, int(wait.group(1)) / 1000 if wait else 0)
                else:
                    answer = response(404)
                if machine in self.unanswered:
                    continue
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _json(self, status, document):
        return response(status, [("Content-Type", "application/json")],
                        json.dumps(document).encode())

    def range(self, fields):
        page, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(fields.get("Prefix", "")):
                continue
            if key <= fields.get("after", ""):
                continue
            if page and (len(page) >= RANGE_ITEMS or size >= RANGE_BYTES):
                more = True
                break
            page.append(self.items[key])
            size += len(self.items[key]["Value"])
        return self._json(200, dict(items=page, HasMore=more,
                                    AsOf=self.revision))

    async def watch(self, fields, wait_s):
        after = int(fields["after"])
        until = time.monotonic() + wait_s
        prefix = fields.get("Prefix", "")
        while True:
            if after < self.dropped_revision:
                return self._json(410, dict(AsOf=self.revision))
            found = [event for revision, _, event in self.events
                     if revision > after and event["Key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return self._json(200, dict(events=found, AsOf=self.revision))
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class BackendServer:
    """A sound server of one service: slots, a short queue, 421, 503, health."""

    def __init__(self, record, store, identifier, service, zone, slots=4,
                 queue=16, work_s=0.05):
        self.record = record
        self.store = store
        self.id = identifier
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.capacity = slots + queue
        self.work_s = work_s
        self.busy = 0
        self.runs = {}  # id of the request -> number of runs
        self.answered = 0
        self.sequence = 0
        self.started_unix_ms = int(time.time() * 1000)
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def register(self, state="ready"):
        self.sequence += 1
        entry = dict(Service=self.service, Address=self.address,
                     Zone=self.zone, Version="v1", Slots=self.slot_count,
                     State=state, WarmupLeftMs=0, Sequence=self.sequence,
                     born=self.started_unix_ms)
        self.store.put(WIRE["ServerPrefix"] + self.id, entry)

    def _load(self):
        running = min(self.busy, self.slot_count)
        return f"{running},{self.busy - running},{self.slot_count}"

    def refusal(self, status, request_id):
        headers = [(WIRE["NotRun"], "1"), (WIRE["ServerId"], self.id)]
        if request_id:
            headers.append((WIRE["RequestId"], request_id))
        return response(status, headers)

    async def serve(self, reader, writer):
        prefix = b""
        try:
            while True:
                request = await read_message(reader, prefix)
                prefix = b""
                if request is None:
                    break
                answer, prefix = await self.answer(request, reader, writer)
                if answer is None:  # the caller has left
                    break
                is_kept = self.send(writer, request, answer)
                await writer.drain()
                self.answered += 1
                if not is_kept:
                    break
                self.after_answer(writer, request, answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def send(self, writer, request, answer):
        """Sends an answer; returns whether the connection stays open."""
        writer.write(answer.encode())
        return True

    def on_run(self, writer):
        """Hook of faulty servers: a request has begun to run."""

    def after_answer(self, writer, request, answer):
        """Hook of faulty servers."""

    async def answer(self, request, reader, writer):
        """Returns the answer and bytes of the next request."""
        if request.target == "/health":
            return response(200, [(WIRE["ServerId"], self.id),
                                  (WIRE["ServerLoad"], self._load())]), b""
        request_id = request.get(WIRE["RequestId"])
        if not request_id:
            return self.refusal(400, ""), b""
        if request.get(WIRE["ExpectedServer"], self.id) != self.id:
            return self.refusal(421, request_id), b""
        if self.busy >= self.capacity:
            self.record.write("server_sheds", server=self.id, id=request_id)
            return self.refusal(503, request_id), b""
        deadline = time.monotonic() + \
            int(request.get(WIRE["Deadline"], "60000")) / 1000
        self.busy += 1
        next_byte = asyncio.ensure_future(reader.read(1))
        try:
            return await self.run(request_id, deadline, next_byte, writer)
        finally:
            self.busy -= 1
            if not next_byte.done():
                next_byte.cancel()
                try:
                    await next_byte
                except (asyncio.CancelledError, ConnectionError):
                    pass

    async def run(self, request_id, deadline, next_byte, writer):
        async with self.slots:
            if next_byte.done() and not next_byte.result():
                return None, b""
            if time.monotonic() >= deadline:
                return self.refusal(503, request_id), b""
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.write("server_runs", server=self.id, id=request_id)
            self.on_run(writer)
            await asyncio.wait({next_byte}, timeout=self.work_s)
            early = next_byte.result() if next_byte.done() else b""
            if next_byte.done() and not early:
                self.record.write("server_drops", server=self.id,
                                  id=request_id)
                return None, b""
            answer = response(
                200, [(WIRE["RequestId"], request_id),
                      (WIRE["Signature"], f"{self.id}.{request_id}"),
                      (WIRE["ServerLoad"], self._load())],
                f"{self.id} {request_id}".encode())
            return answer, early


class Client:
    """A client with one connection, which it keeps open between requests."""

    def __init__(self, record, host, edge):
        self.record = record
        self.host = host
        self.edge = edge
        self.reader = None
        self.writer = None

    async def connect(self):
        address, port = self.edge.front.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(address, int(port)), 1.0)

    async def request(self, path, deadline_ms, body=None, method=None):
        """Returns (id, message); the message is None if there is no answer."""
        request_id = "%016x" % random.getrandbits(64)
        body = body or b""
        method = method or ("POST" if body else "GET")
        headers = [("Host", self.host), (WIRE["RequestId"], request_id),
                   (WIRE["Deadline"], str(deadline_ms))]
        if body:
            headers.append(("Content-Length", str(len(body))))
        message = Message(f"{method} {path} HTTP/1.1", headers, body)
        self.record.write("client_sends", id=request_id, edge=self.edge.name,
                          bytes=len(body))
        answer = None
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(message.encode())
            await self.writer.drain()
            answer = await asyncio.wait_for(read_message(self.reader),
                                            deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.write("client_gets", id=request_id,
                          status=answer.status if answer else "nothing")
        if answer is None or answer.get("Connection").lower() == "close":
            self.close()
        return request_id, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Edge:
    """One edge program with rendered settings."""

    def __init__(self, record, deployment, name, zone, cpu_share=0.25):
        self.record = record
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.cpu_share = cpu_share
        self.source = None  # its address of the store
        self.ip = "127.%d.%d.%d" % (random.randint(1, 250),
                                    random.randint(1, 250),
                                    random.randint(2, 250))
        self.front = f"{self.ip}:{free_port()}"
        self.ready = f"{self.ip}:{free_port()}"
        self.control = f"{self.ip}:{free_port()}"
        self.process = None

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.json"),
                  encoding="utf-8") as template:
            text = template.read()
        fields = {"Node": self.name, "Zone": self.zone, "Ip": self.ip,
                  "Listen": {"Front": self.front, "Ready": self.ready,
                             "Control": self.control},
                  "platform": {"Address": self.source},
                  "Seeds": [edge.control
                            for edge in self.deployment.edges[:3]],
                  "Limits": {"CpuShare": self.cpu_share, "Cores": 1, "MemoryMb": 260},
                  "Bounds": {"ContactMs": 4000, "GraceS": 6}}

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[part]
            if match.group(2) or isinstance(value, (list, dict)):
                return json.dumps(value)
            return str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)

    async def start(self):
        self.source = await self.deployment.store.listen_for(self.name)
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {WIRE["SettingsVariable"]: path, "HOME": "/tmp",
                       "PATH": os.environ.get("PATH", ""), "LANG": "C"}
        log = open(os.path.join(self.deployment.folder, self.name + ".log"),
                   "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.deployment.command, cwd=ROOT, env=environment, stdout=log,
            stderr=log)
        log.close()
        self.record.write("edge_starts", edge=self.name,
                          pid=self.process.pid)

    async def is_ready(self):
        address, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(Message(f"GET {WIRE['ReadyPath']} HTTP/1.1",
                                 [("Host", self.ready)]).encode())
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.write("edge_signal", edge=self.name,
                          signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()


class Deployment:
    """Store, servers and edges of one case."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.servers = []
        self.edges = []
        self.host = "front%d.example" % random.randint(100, 999)
        self.command = self.read_command()

    @staticmethod
    def read_command():
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            found = re.search(r'^run = "([^"]+)"', file.read(), re.M)
        words = found.group(1).split()
        if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        return words

    async def add_server(self, server):
        self.servers.append(server)
        await server.start()
        server.register()
        return server

    async def start_edges(self, zones, cpu_shares=None):
        """Starts an edge in each of `zones` and waits until all are ready."""
        for number, zone in enumerate(zones, 1):
            share = cpu_shares[number - 1] if cpu_shares else 0.25
            self.edges.append(Edge(self.record, self, f"front-{zone}-{number}",
                                   zone, share))
        for edge in self.edges:
            await edge.start()
        until = time.monotonic() + 15
        for edge in self.edges:
            while not await edge.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{edge.name} did not become ready")
                await asyncio.sleep(0.1)

    def runs_of(self, request_id):
        return sum(server.runs.get(request_id, 0) for server in self.servers)

    def all_runs(self):
        total = {}
        for server in self.servers:
            for request_id, count in server.runs.items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    async def stop(self):
        for edge in self.edges:
            await edge.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def limits(body=262144, idle=15000):
    return dict(MaxHeaderBytes=16384, MaxBodyBytes=body, HeaderTimeoutMs=3000,
                IdleTimeoutMs=idle)


def service_spec(name):
    return dict(Name=name, HealthPath="/health", MaxConns=110, Protocol="h1",
                Tls=False, WarmupS=3.0, WarmupPerS=0.0)


def route(name, host, prefix, kind, service, attempts=2, timeout_ms=4000,
          objective_ms=600):
    return dict(Name=name, Host=host, Prefix=prefix, RouteType=kind,
                TimeoutMs=timeout_ms, ObjectiveMs=objective_ms, Priority=2,
                Service=service, MaxAttempts=attempts)


def configuration(version, routes, services, caller_limits=None):
    return dict(Version=version, Routes=routes,
                Services=[service_spec(name) for name in services],
                Limits=caller_limits or limits())


def run_case(folder, case, limit_s=110):
    """Runs `case(deployment)`, which returns True if the rule held."""
    record = Record(folder)

    async def guarded():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      task.cancel)
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment), limit_s)
        finally:
            await deployment.stop()

    code = EXIT_NOT_RUN
    try:
        held = asyncio.run(guarded())
        code = EXIT_HELD if held else EXIT_BROKEN
        record.say("the rule held" if held else "the rule was broken")
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {error!r}")
    record.close()
    sys.exit(code)
