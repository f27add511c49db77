"""Stand-ins of a case: clients, endpoints and the platform, on loopback addresses and the real clock.

Written from the operators' protocol page. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
RELAY = os.path.join(ROOT, "build", "opalroute")
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 410: "Gone", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of time: the case's record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {who} {what} {text}".rstrip() + "\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message with a Content-Length. Returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A listening socket that serves HTTP/1.1, one call at a time on a connection."""

    def __init__(self):
        self.port = 0
        self.writers = set()
        self.server = None
        self.idle_s = 60.0  # a connection that has been idle for so long is closed

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(read_message(reader), self.idle_s)
                if message is None or not await self.on_message(message, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.CancelledError):
            pass  # idle for too long, or cancelled at the end of the case
        finally:
            self.writers.discard(writer)
            writer.close()

    async def die(self):
        """The process ends: its connections are reset and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def on_message(self, message, reader, writer):
        raise NotImplementedError


class Platform(Server):
    """Discovery and the address for notices."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.instances = []
        self.generation = 1
        self.notices = {}  # message: [(time, outcome)]

    def set_instances(self, instances):
        self.instances = instances

    def list(self):
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    async def on_message(self, message, reader, writer):
        line, _, body = message
        method, target, _ = line.split(" ")
        if method == "POST" and target == "/v1/notices":
            for text in body.decode().splitlines():
                if text.strip():
                    notice = json.loads(text)
                    self.notices.setdefault(notice["message"], []).append((self.record.now(), notice["outcome"]))
                    self.record("platform", "notice", id=notice["message"], outcome=notice["outcome"],
                                retry_in_ms=notice.get("retry_in_ms", "-"))
            writer.write(response(204))
            await writer.drain()
            return True
        if "follow=1" not in target:
            writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(self.list()).encode()))
            await writer.drain()
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = json.dumps(self.list()) + "\n"
        while True:  # the list, then an empty line every 2 s
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
            text = "\n"
            await asyncio.sleep(2)


class Call:
    def __init__(self, endpoint, messages, writer, at):
        self.endpoint = endpoint
        self.messages = messages  # [(id, key)]
        self.writer = writer
        self.at = at
        self.out = True  # neither answered nor closed


class Endpoint(Server):
    """An endpoint of a partner. `answer(call)` is awaited and returns (status, headers, states or None)."""

    def __init__(self, name, record, on_call, answer, idle_s=15.0):
        super().__init__()
        self.idle_s = idle_s
        self.name = name
        self.record = record
        self.on_call = on_call
        self.answer = answer

    async def on_message(self, message, reader, writer):
        line, headers, body = message
        _, target, _ = line.split(" ")
        if target == "/health/live":
            return await self.probe(reader, writer)
        if target == "/hook":
            messages = [(headers["x-txn"], headers.get("idempotency-key", ""))]
        elif target == "/hook/batch":
            messages = [(item["id"], item.get("key", "")) for item in json.loads(body)]
            for item in json.loads(body):
                base64.b64decode(item["body"], validate=True)
        else:
            writer.write(response(404))
            return True
        call = Call(self, messages, writer, self.record.now())
        self.record(self.name, "call", ids=",".join(m[0] for m in messages),
                    remaining_ms=headers.get("x-remaining-ms", "-"))
        self.on_call(call)
        return await self.finish(call, reader, writer, target == "/hook/batch")

    async def probe(self, reader, writer):
        self.record(self.name, "probe")
        call = Call(self, [], writer, self.record.now())
        return await self.finish(call, reader, writer, False)

    async def finish(self, call, reader, writer, batch):
        """Answers the call, unless its connection ends before."""
        answer = asyncio.ensure_future(self.answer(call))
        ended = asyncio.ensure_future(reader.read(1))  # a relay sends nothing before the answer
        await asyncio.wait({answer, ended}, return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            call.out = False
            answer.cancel()
            self.record(self.name, "given_up_by_relay", ids=",".join(m[0] for m in call.messages))
            return False
        status, headers, states = answer.result()
        body = b""
        if batch and status == 200:
            body = json.dumps([{"id": m[0], "state": (states or {}).get(m[0], "done")} for m in call.messages]).encode()
        ended.cancel()
        try:
            await ended
        except asyncio.CancelledError:
            pass
        writer.write(response(status, headers, body))
        call.out = False
        self.record(self.name, "answered", status=status, ids=",".join(m[0] for m in call.messages))
        await writer.drain()
        return True


class Client:
    """Hands messages in, one at a time on a connection. Keeps its connections and opens more when all are busy."""

    def __init__(self, record, port, rng):
        self.record = record
        self.port = port
        self.rng = rng
        self.idle = []
        self.answers = {}  # id: (time, status), or (time, None) where no answer came

    async def send(self, request_id, request_class, destination, remaining_ms, org, key="", body=None):
        body = self.rng.randbytes(212) if body is None else body
        head = (f"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {request_id}\r\nX-Lane: {request_class}\r\n"
                f"X-Org: {org}\r\nX-Remaining-Ms: {remaining_ms}\r\nX-Addressing: dest={destination}\r\n")
        if key:
            head += f"Idempotency-Key: {key}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        status = None
        self.record("client", "hands_in", id=request_id, lane=request_class, dest=destination,
                    remaining_ms=remaining_ms)
        writer = None
        try:
            if self.idle:
                reader, writer = self.idle.pop()
                if reader.at_eof():
                    writer.close()
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
            writer.write(head.encode() + body)
            message = await asyncio.wait_for(read_message(reader), 0.4)
            if message is not None:
                status = int(message[0].split(" ")[1])
                if message[1].get("connection", "").lower() != "close":
                    self.idle.append((reader, writer))
                    writer = None
        except (asyncio.TimeoutError, ConnectionError, OSError):
            pass
        if writer is not None:
            writer.close()
        self.answers[request_id] = (self.record.now(), status)
        self.record("client", "answer", id=request_id, status=status)
        return status


class Relay:
    """The relay, started with the command of the deploy file."""

    def __init__(self, record, folder, name, config, env=None):
        self.record = record
        self.folder = folder
        self.name = name
        self.config = config
        self.env = env or {}
        self.process = None
        self.starts = 0

    async def start(self):
        os.makedirs(self.config["state"], exist_ok=True)
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        tmp = os.path.join(self.folder, f"{self.name}.tmp.{self.starts}")
        os.makedirs(tmp)
        self.starts += 1
        env = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "OPALROUTE_"))}
        env.update(EDGE_CONFIG=path, TMPDIR=tmp, EDGE_NAME=self.name, EDGE_LISTEN=self.config["listen"],
                   EDGE_DISCOVERY=self.config["discovery"], EDGE_STATE=self.config["state"], **self.env)
        log = open(os.path.join(os.environ.get("LOG_FOLDER", self.folder), f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", "exec build/opalroute", cwd=ROOT, env=env,
                                                            stdout=log, stderr=log)
        log.close()
        self.record(self.name, "started", pid=self.process.pid)
        host, port = self.config["listen"].split(":")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                message = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if message and " 200 " in message[0]:
                    self.record(self.name, "ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.record(self.name, "signal", number=int(number))
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.running():
            self.signal(signal.SIGKILL)
            await self.process.wait()


def config_of(name, platform, state, settings, disk_mb=3, listen=None):
    return {"name": name, "listen": listen or f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{platform.port}",
            "state": state, "seed": "5eed", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024,
                                                        "disk_mb": disk_mb},
            "known": platform.list(), "settings": settings}


def main(play, folder):
    """Runs `play(record, rng, trouble, work_folder)`, which returns the breaks of the rule, and exits as the issue
    asks."""
    seed = int(os.environ.get("SEED", "1"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.environ.get("RECORD_FOLDER", folder))
    record("case", "begins", seed=seed, trouble=int(trouble))
    status = 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the case, and the processes that it started
    with tempfile.TemporaryDirectory() as work:
        try:
            if not os.access(RELAY, os.X_OK):
                raise CannotRun("build/opalroute is missing: run the build of the deploy file first")
            breaks = asyncio.run(asyncio.wait_for(play(record, random.Random(seed), trouble, work), 110))
            for line in breaks[:20]:
                record("case", "BROKEN", why=line)
            status = 1 if breaks else 0
            print(f"seed {seed}, trouble {int(trouble)}: rule {'broken' if breaks else 'held'}"
                  f"{', ' + str(len(breaks)) + ' times; first: ' + breaks[0] if breaks else ''}")
        except (CannotRun, asyncio.TimeoutError, KeyboardInterrupt) as error:
            record("case", "could_not_run", why=error)
            print(f"could not run: {error!r}")
    record("case", "ends", status=status)
    raise SystemExit(status)
