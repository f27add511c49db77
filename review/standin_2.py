"""Stand-ins for clients, endpoints, the platform and a name server, and the start of a relay.

Used by the cases 6 to 10. All of them listen on loopback addresses and free ports."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HERE = os.path.dirname(os.path.abspath(sys.argv[0]))  # the folder of the case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns (start line, headers, body) or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Platform:
    """Discovery and notices."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.rows = {}
        self.watches = []
        self.notices = {}
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, name, port, cell, zone="ground", kind="small", weight=20.0, lifecycle="ready", started=0):
        self.rows[name] = {"instanceId": name, "hostPort": "127.0.0.1:%d" % port, "zone": zone,
                           "machineType": kind, "cell": cell, "lifecycle": lifecycle, "weight": weight,
                           "startedAtMs": started}
        return self.rows[name]

    def change(self, rows):
        """Publishes changed rows."""
        self.generation += 1
        for row in rows:
            if row["lifecycle"] == "gone":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
            self.record("platform: generation %d: %s of cell %s is %s" % (
                self.generation, row["instanceId"], row["cell"], row["lifecycle"]))
        line = json.dumps({"generation": self.generation, "reset": False, "instances": rows}) + "\n"
        for queue in self.watches:
            queue.put_nowait(line)

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, _, body = message
                if start.startswith("POST /v1/notices"):
                    for line in body.decode().splitlines():
                        notice = json.loads(line)
                        self.record("platform: notice %s" % line)
                        self.notices.setdefault(notice["message"], []).append((self.record.now(), notice))
                    writer.write(response(204))
                elif "follow=1" in start:
                    await self.watch(writer)
                    break
                else:
                    writer.write(response(200, (json.dumps(self.whole()) + "\n").encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def watch(self, writer):
        queue = asyncio.Queue()
        self.watches.append(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.whole()) + "\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line.encode()))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2)
                except asyncio.TimeoutError:
                    line = "\n"
        finally:
            self.watches.remove(queue)


class Endpoint:
    """An endpoint; `answer(endpoint, call)` is a coroutine that returns response bytes, or None to close."""

    def __init__(self, record, name, answer):
        self.record, self.name, self.answer = record, name, answer
        self.calls = []
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, headers, body = message
                if start.startswith("GET"):
                    writer.write(response(200))
                    continue
                items = []
                if start.startswith("POST /hook/batch"):
                    for item in json.loads(body):
                        items.append((item["id"], item.get("key"), base64.b64decode(item["body"])))
                else:
                    items.append((headers.get("x-txn"), headers.get("idempotency-key"), body))
                call = {"t": self.record.now(), "items": items, "batch": "batch" in start, "bytes": len(body),
                        "remaining": headers.get("x-remaining-ms"), "endpoint": self.name}
                self.calls.append(call)
                self.record("%s: call with %s" % (self.name, " ".join(i[0] for i in items)))
                answer = await self.answer(self, call)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def done(call):
    if not call["batch"]:
        return response(200)
    return response(200, json.dumps([{"id": i[0], "state": "done"} for i in call["items"]]).encode())


class Client:
    def __init__(self, record, port):
        self.record, self.port = record, port
        self.sent = {}
        self.idle = []

    async def send(self, ident, lane, dest, remaining_ms, key=None, body=b"x", org="north"):
        text = ("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\n"
                "X-Remaining-Ms: %d\r\nX-Addressing: dest=%d\r\n" % (ident, lane, org, remaining_ms, dest))
        if key:
            text += "Idempotency-Key: %s\r\n" % key
        data = (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body
        entry = {"t": self.record.now(), "lane": lane, "dest": dest, "remaining": remaining_ms / 1000.0,
                 "key": key, "body": body, "status": None}
        self.sent[ident] = entry
        for kept in ([True, False] if self.idle else [False]):
            entry["status"] = await self.exchange(data, kept)
            if not (kept and entry["status"] == "closed"):
                break  # a close between requests that crosses this one: once more on a new connection
        entry["answered"] = self.record.now()
        self.record("client: %s %s dest=%d %d ms -> %s" % (ident, lane, dest, remaining_ms, entry["status"]))
        return entry["status"]

    async def exchange(self, data, kept):
        writer = None
        try:
            reader, writer = self.idle.pop() if kept else await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader), 0.4)
        except asyncio.TimeoutError:
            writer.close()
            return "no answer in 0.4 s"
        except OSError:
            return "closed" if writer else "no connection"
        if answer is None:
            writer.close()
            return "closed"
        if "close" in answer[1].get("connection", ""):
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(answer[0].split()[1])


SETTINGS = {
    "balancers": 1, "me": 0, "discovery": "ask", "zones": ["ground", "first"], "kinds": ["bulk", "small"],
    "classes": [
        {"name": "board-status", "effect": "idempotent", "group": "all", "keyTtlS": 5, "aimS": 0.8, "deadlineS": 8,
         "worth": 1, "lateShare": 0.1},
        {"name": "notice-order", "effect": "deduplicated", "group": "all", "keyTtlS": 12, "aimS": 2,
         "deadlineS": 20, "worth": 1, "lateShare": 0.5},
        {"name": "payment", "effect": "at_most_once", "group": "all", "keyTtlS": 5, "aimS": 2, "deadlineS": 16,
         "worth": 3, "lateShare": 0.5}],
    "realms": [{"name": "north", "share": 1, "allowancePerS": 50}],
    "familyInfo": {"callsOut": 16, "bundleMax": [5, 1], "routesApart": [True, False], "late": "even"},
    "limits": {"openCap": 219, "mostTries": 12, "cancel": True, "secondCopies": True, "retryAfter": True,
               "maxRetryAfterS": 3, "peers": False, "probes": True, "connIdleS": 15, "dialTimeoutS": 1.5},
    "rules": {"answerSlackS": 0.02, "askWithinS": 10, "coldFrom": 0.22, "drainGraceS": 2.0, "overloadFactor": 2,
              "overloadForS": 2, "rampTimeS": 13},
    "telemetry": {"fields": [], "how": "none"}, "tickS": 0.005, "weightKind": "rough", "overShareWorth": 0.2}


class Relay:
    """The relay, started with the command of the deploy file."""

    def __init__(self, record, platform, folder, change_settings=None, limits=None, environment=None, config=None):
        self.record, self.platform = record, platform
        self.port = free_port()
        self.state = os.path.join(folder, "state")
        os.makedirs(self.state, exist_ok=True)
        self.folder = folder
        settings = json.loads(json.dumps(SETTINGS))
        if change_settings:
            change_settings(settings)
        self.config = {"name": "n0", "listen": "127.0.0.1:%d" % self.port,
                       "discovery": "127.0.0.1:%d" % platform.port, "seed": "8c1f30d27a5be964",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                       "settings": settings, "state": self.state}
        self.config.update(config or {})
        self.environment = environment or {}
        self.process = None
        self.starts = 0
        self.processes = []

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(self.config, file)
        os.rename(path + ".new", path)
        return path

    def log_path(self, number):
        return os.path.join(self.folder, "relay.%d.log" % number)

    async def start(self, pass_fds=(), extra=None):
        self.config["known"] = self.platform.whole()
        path = self.write_config()
        self.starts += 1
        environment = dict(os.environ, EDGE_CONFIG=path, EDGE_STATE=self.state, EDGE_NAME="n0",
                           EDGE_LISTEN=self.config["listen"], EDGE_DISCOVERY=self.config["discovery"])
        environment.pop("TROUBLE", None)
        environment.update(self.environment)
        environment.update(extra or {})
        log = open(self.log_path(self.starts), "w")
        command = "exec build/opalroute"
        for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
            if line.startswith("run = "):
                command = json.loads(line.split("=", 1)[1].strip())
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=pass_fds)
        self.processes.append(self.process)
        self.record("relay: process %d started" % self.starts)
        return self.process

    async def ready(self, seconds=15, port=None):
        """Waits for the yes at the clients' address, or at the operators' address `port`."""
        path = "/v1/readyz" if port else "/health/ready"
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise RuntimeError("the relay ended with %s" % self.process.returncode)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
                writer.write(b"GET %s HTTP/1.1\r\nHost: n0\r\n\r\n" % path.encode())
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and " 200 " in answer[0]:
                    self.record("relay: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError("the relay isn't ready")

    def signal(self, number, process=None):
        process = process or self.process
        self.record("relay: %s" % signal.Signals(number).name)
        process.send_signal(number)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for number in range(1, self.starts + 1):
            with open(self.log_path(number)) as log:
                for line in log.readlines()[-40:]:
                    self.record("log of process %d: %s" % (number, line.rstrip()[:300]))

    def hold_listener(self):
        """The clients' listening socket is held by the platform and inherited by every process."""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(128)
        descriptor = self.listener.fileno()
        os.set_inheritable(descriptor, True)
        self.environment["EDGE_INHERITED_FD"] = str(descriptor)
        return (descriptor,)


class NameServer(asyncio.DatagramProtocol):
    """Answers each SRV question with the records in `zone`, (target, port, priority, weight), and each question for
    an address with 127.0.0.1."""

    def __init__(self, record, zone):
        self.record, self.zone, self.ttl = record, zone, 1

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        return self.transport.get_extra_info("sockname")[1]

    def connection_made(self, transport):
        self.transport = transport

    def answer(self, kind, data):
        return b"\xc0\x0c" + struct.pack("!HHIH", kind, 1, self.ttl, len(data)) + data

    def datagram_received(self, data, address):
        at = 12
        while data[at]:
            at += 1 + data[at]
        kind = struct.unpack("!H", data[at + 1:at + 3])[0]
        answers = []
        if kind == 33:
            for target, port, priority, weight in self.zone:
                labels = [bytes([len(label)]) + label.encode() for label in target.split(".")]
                answers.append(self.answer(33, struct.pack("!HHH", priority, weight, port) + b"".join(labels) + b"\0"))
            self.record("name server: SRV names %s" % " ".join(row[0] for row in self.zone))
        elif kind == 1:
            answers.append(self.answer(1, bytes([127, 0, 0, 1])))
        head = data[:2] + struct.pack("!HHHHH", 0x8180, 1, len(answers), 0, 0)
        self.transport.sendto(head + data[12:at + 5] + b"".join(answers), address)


def run(case, record_file, limit=110):
    """Runs `case(record, folder)`, a coroutine that returns a list of breaks; `record_file` is in the folder of the case."""
    record = Record(os.path.join(HERE, record_file))
    folder = tempfile.mkdtemp(prefix="review-")
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))  # the case is cancelled, and ends what it started
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record, folder), limit))
    except Exception as error:  # the case couldn't run
        record("not run: %r" % error)
        print("not run: %r" % error)
        raise SystemExit(2)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for line in breaks:
        record("BROKEN: " + line)
        print("BROKEN: " + line)
    if not breaks:
        record("held")
        print("held")
    raise SystemExit(1 if breaks else 0)
