"""Stand-ins of the platform for the review's scripts: store, servers, clients, and the start of the sidecars.

Only the standard library is used. Everything runs on 127.0.0.1 with ports that the system says are free. The
sidecars are the project's own program, started as separate processes with the command of deploy/system.toml and
settings that are filled into deploy/sidecar.toml.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case says nothing about the rule: a precondition was not met."""


class Record:
    """Writes what was sent, answered and run, each line with the milliseconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{(time.monotonic() - self.began) * 1000:9.1f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports of 127.0.0.1 that are free for TCP and for UDP now, below those that the system gives to connections."""
    held, ports = [], []
    while len(ports) < count:
        port = random.randrange(15_000, 31_000)
        tcp = socket.socket()
        udp = socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for each in held:
        each.close()
    return ports


class Message:
    """One HTTP request or response."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_message(reader):
    """Reads one message with a length or in chunks; None at the end of the connection before its first byte."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        size = -1
        while size != 0:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif int(headers.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def response_bytes(status, headers=(), body=b""):
    reasons = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request", 404: "Not Found"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_bytes(method, host, path, request_id, deadline_ms, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}",
             f"Deadline-Milliseconds: {deadline_ms}"]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: items with revisions, ranges, watches, and writes under conditions."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.next_lease = 1

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def headers(self):
        """Further headers of all answers."""
        return []

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"privateKey": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"privateKey": key, "revision": self.revision, "gone": True})
            self.changed.set()
            self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, answer = await self._answer(message)
                headers = [("Content-Type", "application/json")] + self.headers()
                writer.write(response_bytes(status, headers, json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The connection has ended, or the case.
        finally:
            writer.close()

    async def _answer(self, message):
        method, target, _ = message.start.split()
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if method == "GET" and url.path == "/-/kv-key":
            item = self.items.get(query.get("privateKey"))
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if method == "GET" and url.path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("pathPrefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "more": len(keys) > 500,
                         "at": self.revision}
        if method == "GET" and url.path == "/-/kv-watch":
            return await self._watch(query)
        body = json.loads(message.body or b"{}")
        if method == "POST" and url.path == "/-/kv-txn":
            return self._write(body)
        if method == "POST" and url.path == "/-/kv-lease":
            self.next_lease += 1
            return 200, {"lease": self.next_lease, "ttl_time": body.get("ttl_time", "10s")}
        return 200, {}

    async def _watch(self, query):
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [each for each in self.history if each["revision"] > int(query.get("after", 0))
                      and each["privateKey"].startswith(query.get("pathPrefix", ""))]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, body):
        for row in body.get("expectedRevision", []):
            item = self.items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [each["privateKey"] for each in body["expectedRevision"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for row in body.get("put", []):
            self.put(row["privateKey"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def configuration(version, routes):
    """The operator's configuration. Each route: name, host, kind, service, timeout_ms, attempts."""
    services = {route["service"] for route in routes}
    return json.dumps({
        "version": f"r{version}",
        "routes": {route["name"]: {
            "host": route["host"], "pathPrefix": "/" + route["name"] + "/", "kind": route["kind"],
            "timeout": f"{route['timeout_ms']}ms", "targetLatency": f"{route.get('target_ms', 1500)}ms",
            "priority": route.get("priority", 1), "service": route["service"],
            "retryAttempts": route.get("attempts", 2)} for route in routes},
        "services": {name: {"healthCheckPath": "/health", "maxConnections": 400} for name in services},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms",
                   "idleTimeout": "15000ms"},
    }).encode()


class Server:
    """An application server: heartbeats to the daemon on its machine, health, and one request at a time on each
    connection. `run(server, request)` says how long a request works, in seconds. A request whose connection closes
    while it works is dropped, as most servers do; it has run all the same."""

    def __init__(self, record, instance, service, zone, port, control_port, run, slots=16):
        self.record, self.instance, self.service, self.zone = record, instance, service, zone
        self.port, self.control_port, self.run, self.slots = port, control_port, run, slots
        self.runs = []  # Request ids in the order in which work on them began.
        self.running = 0
        self.sequence = 0

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            body = json.dumps({"address": f"127.0.0.1:{self.port}",
                               "information": {"service": self.service, "version": "v1", "zone": self.zone,
                                               "slots": self.slots},
                               "status": {"state": "ready", "sequence": self.sequence,
                                          "coldRemaining": "0ms"}}).encode()
            head = (f"PUT /-/instances/{self.instance} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
                writer.write(head + body)
                await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                await asyncio.sleep(1.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.3)

    def signature(self, request):
        return f"{self.instance}.{request.header('request-id')}.{len(self.body_of(request))}"

    def body_of(self, request):
        return f"{self.service} {request.start.split()[1]} {request.header('request-id')}\n".encode()

    def answer(self, request):
        return response_bytes(200, [("Request-Id", request.header("request-id")),
                                    ("Server-Signature", self.signature(request))], self.body_of(request))

    def refusal(self, request, status=503):
        return response_bytes(status, [("Request-Id", request.header("request-id")), ("Not-Executed", "1")])

    async def _serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                await self._handle(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The connection has ended, or the case.
        finally:
            writer.close()

    async def _handle(self, request, reader, writer):
        if request.start.split()[1] == "/health":
            writer.write(response_bytes(200, [("Instance-Id", self.instance),
                                              ("Server-Load", f"{self.running},0,{self.slots}")]))
            return
        if request.header("expected-instance", self.instance) != self.instance:
            writer.write(self.refusal(request, 421))
            return
        await self.take(request, reader, writer)

    async def take(self, request, reader, writer):
        await self.work(request, reader)
        writer.write(self.answer(request))
        await writer.drain()

    async def work(self, request, reader):
        """Runs the request; raises ConnectionResetError if its connection closes meanwhile."""
        request_id = request.header("request-id")
        self.runs.append(request_id)
        self.running += 1
        self.record.line(f"{self.instance} runs {request_id} {request.start}")
        try:
            ends = time.monotonic() + self.run(self, request)
            while (left := ends - time.monotonic()) > 0:
                await asyncio.sleep(min(left, 0.02))
                if reader.at_eof() or reader.exception():
                    self.record.line(f"{self.instance} drops {request_id}: its connection was closed")
                    raise ConnectionResetError
        finally:
            self.running -= 1


C_LIBRARY = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1  # As in linux/prctl.h.


def end_with_parent():
    """Lets the new process be killed when the script is killed before it can end it."""
    C_LIBRARY.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Machine:
    """One machine: a sidecar process and the addresses of its server."""

    def __init__(self, record, folder, name, zone, service, store_port, settings=None):
        self.record, self.folder, self.name, self.zone, self.service = record, folder, name, zone, service
        (self.calls, self.hops, self.control, self.ready, self.gossip, self.metrics, self.server) = free_ports(7)
        self.store_port = store_port
        self.process = None
        self.settings = {"bounds.grace": "6s", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "57",
                         "bounds.budgetWindow": "10s", "heartbeatInterval": "1500ms",
                         "faultTolerance.zones": "0", **(settings or {})}

    def write_settings(self):
        fields = {"nodeName": self.name, "zone": self.zone, "service": self.service, "ip": "127.0.0.1",
                  "listenAddresses.outbound": f"127.0.0.1:{self.calls}",
                  "listenAddresses.inbound": f"127.0.0.1:{self.hops}",
                  "listenAddresses.control": f"127.0.0.1:{self.control}",
                  "listenAddresses.ready": f"127.0.0.1:{self.ready}",
                  "internalPortRange.0": str(self.gossip), "internalPortRange.1": str(self.metrics),
                  "platform.address": f"127.0.0.1:{self.store_port}",
                  "applicationAddress": f"127.0.0.1:{self.server}", **self.settings}
        with open(os.path.join(REPOSITORY, "deploy", "sidecar.toml"), encoding="utf-8") as file:
            template = file.read()
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]*)\}\}", lambda gap: fields.get(gap.group(1), ""), template))
        return path

    def start(self):
        settings = self.write_settings()
        command = [settings if word == "/etc/anisehold/node.conf" else word for word in deploy_command()]
        command[0] = program()
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        preexec_fn=end_with_parent)
        log.close()
        self.record.line(f"{self.name} started: {' '.join(['anisehold'] + command[1:2])}, process {self.process.pid}")

    def send_signal(self, number):
        self.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_for_end(self, timeout):
        ends = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < ends:
            await asyncio.sleep(0.02)
        return self.process.poll()


def deploy_command():
    """The words of the line `run` of deploy/system.toml."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]+)"', file.read(), re.MULTILINE).group(1).split()


def program():
    """The newest build of the program: the platform's in target/, or that of `make build`."""
    found = [path for path in (os.path.join(REPOSITORY, folder, "anisehold") for folder in ("target", "build"))
             if os.access(path, os.X_OK)]
    if not found:
        raise CouldNotRun("neither target/anisehold nor build/anisehold is there: build the project first")
    return max(found, key=os.path.getmtime)


async def wait_until(condition, timeout, what):
    ends = time.monotonic() + timeout
    while not await condition():
        if time.monotonic() > ends:
            raise CouldNotRun(f"{what} within {timeout} s")
        await asyncio.sleep(0.1)


async def exchange(port, data, timeout):
    """Sends one request on a new connection; returns the whole answer, or None if the connection ends before."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return None
    try:
        writer.write(data)
        await writer.drain()
        return await asyncio.wait_for(read_message(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def main(folder, case):
    """Runs `case(record, work_folder, with_trouble)`, ends all processes, and exits with its verdict."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the case through its `finally`, which ends the processes.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"with the disruption: {'yes' if with_trouble else 'no'}")
    machines = []

    async def play():
        with tempfile.TemporaryDirectory(prefix="anisehold-review-") as work_folder:
            try:
                return await asyncio.wait_for(case(record, work_folder, with_trouble, machines), 110)
            finally:
                for machine in machines:
                    if machine.process and machine.process.poll() is None:
                        machine.process.kill()
                    if machine.process:
                        machine.process.wait()
                kept = os.environ.get("KEEP_LOGS")
                if kept:
                    subprocess.run(["cp", "-r", work_folder, kept], check=False)

    try:
        verdict = asyncio.run(play())
    except CouldNotRun as error:
        record.line(f"could not run: {error}")
        verdict = COULD_NOT_RUN
    except Exception as error:  # A defect of the script is no verdict on the rule.
        record.line(f"could not run: {type(error).__name__}: {error}")
        verdict = COULD_NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.line(words[verdict])
    print(words[verdict])
    sys.exit(verdict)
