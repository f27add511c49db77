#!/usr/bin/env python3
"""Records the state folders of relay processes that are killed while they work:

    record_state.py OPALROUTE FOLDER

Runs the real program against a fake discovery service and fake endpoints. Writes FOLDER/single (one process, with
membership and zone failover) and FOLDER/pair (two processes on one listening socket), and in each `killed_at_us`: the
folder's time (the offset in the file `clock` plus the monotonic clock) at the kill. FOLDER/config.json is the
configuration.
"""
import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

SERVER_NAMES = ["e1", "e2", "s1", "s2", "discovery"]


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.mode, self.received = "serve", []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, request, client_address):
        pass  # the relay was killed


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def do_GET(self):
        if self.path.startswith("/registry"):
            time.sleep(1e4)  # no response: the relay uses the list of its configuration
        self.answer(503)  # a health check

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        batch = self.path == "/hook/batch"
        self.server.received += [r["id"] for r in json.loads(body)] if batch else [self.headers.get("X-Txn")]
        mode = self.server.mode
        if mode == "hang":
            time.sleep(1e4)
        if mode == "serve" and batch:
            done = [{"id": r["id"], "state": "done"} for r in json.loads(body)]
            return self.answer(200, json.dumps(done).encode())
        wait = {"X-RateLimit-Wait-Ms": str(mode)} if isinstance(mode, int) else {}
        self.answer(429 if wait else {"serve": 200, "error": 500, "down": 503}[mode], b"", **wait)

    def answer(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in {"Content-Length": str(len(body)), **headers}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


class RelaySetup:
    def __init__(self, program, folder, inherited):
        self.program, self.folder = program, folder
        shutil.rmtree(folder, ignore_errors=True)
        os.makedirs(folder)
        self.servers = {name: Server() for name in SERVER_NAMES}
        self.servers["discovery"].mode = "down"
        self.addresses = {name: server.address for name, server in self.servers.items()}
        self.addresses.update(d1=free_port(), p0=free_port(socket.SOCK_DGRAM), p1=free_port(socket.SOCK_DGRAM),
                              ops=free_port(), admin=free_port(), listen=free_port(), state=folder)
        self.listener = None
        if inherited:
            self.listener = socket.create_server(("127.0.0.1", 0))
            self.addresses["listen"] = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.processes, self.sent = [], 0

    def start(self, *arguments):
        with open(os.path.join(os.path.dirname(os.path.abspath(self.folder)), "config.json")) as file:
            text = file.read()
        for name, address in self.addresses.items():
            text = text.replace(f"@{name}@", address)
        config = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        config.write(text)
        config.close()
        environment = dict(os.environ, EDGE_CONFIG=config.name)
        inherited_fds = []
        if self.listener:
            inherited_fds = [self.listener.fileno()]
            environment["EDGE_INHERITED_FD"] = str(inherited_fds[0])
        self.processes.append(subprocess.Popen([self.program, *arguments], env=environment,
                                               pass_fds=inherited_fds, stdout=subprocess.DEVNULL))
        time.sleep(0.4)

    def post(self, target, path, body=b"", **headers):
        connection = http.client.HTTPConnection(self.addresses[target], timeout=5)
        connection.request("POST", path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        return connection.getresponse().status

    def send_request(self, name, request_class, destination, remaining_ms=590000, key=None):
        headers = {"X_Txn": name, "X_Lane": request_class, "X_Org": "nord", "X_Remaining_Ms": str(remaining_ms),
                   "X_Addressing": f"dest={destination}"}
        if key:
            headers["Idempotency_Key"] = key
        status = self.post("listen", "/api", f"body of {name}\0\r\n\xff".encode("latin1"), **headers)
        assert status == 202, (name, status)

    def wait_for_requests(self, server, *names):
        for _ in range(200):
            if set(names) <= set(self.servers[server].received):
                return
            time.sleep(0.02)
        sys.exit(f"{names} did not arrive at {server}: {self.servers[server].received}")

    def kill_all(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.processes = []
        with open(self.folder + "/clock", "rb") as file:
            clock = json.loads(file.read()[8:])
        with open(self.folder + "/killed_at_us", "w") as file:
            file.write(f"{clock['offset'] + time.monotonic_ns() // 1000}\n")


def single(program, folder):
    s = RelaySetup(program, folder, False)
    features = ["--learn-state", "--tier-shares", "--tier-zones", "--admin-listen", s.addresses["admin"]]
    s.start(*features)
    for i in range(8):
        s.send_request(f"done-{i}", ["status", "order"][i % 2], 7 + i % 2, key=f"k{i}" if i % 2 else None)
    time.sleep(0.5)
    s.servers["e1"].mode = s.servers["e2"].mode = "error"
    s.send_request("notice-failed", "payment", 7)  # may have run: fails, and discovery takes no notifications
    time.sleep(0.3)
    s.servers["e1"].mode = s.servers["e2"].mode = "serve"
    s.send_request("notice-handed-back", "payment", 9, remaining_ms=600)  # the endpoint refuses connections
    time.sleep(1)
    s.kill_all()
    s.start(*features)
    assert s.post("ops", "/v1/endpoints/e2/suspend") == 200
    subprocess.run([program, "zones", s.addresses["admin"], "--leave", "first", "--for", "3000"], check=True,
                   stdout=subprocess.DEVNULL)
    s.servers["s1"].mode = 30000
    s.send_request("told-to-wait", "status", 8)
    s.wait_for_requests("s1", "told-to-wait")
    time.sleep(0.2)
    s.send_request("untried", "payment", 8)
    s.send_request("down", "status", 9)
    s.servers["e1"].mode = "down"
    s.send_request("refused-once", "status", 7)
    s.wait_for_requests("e1", "refused-once")
    s.servers["e1"].mode = "hang"
    for i, kind in enumerate(["status", "order", "note", "payment"]):
        s.send_request(f"out-{kind}", kind, 7, key=f"key-{kind}" if i in (1, 2) else None)
        s.wait_for_requests("e1", f"out-{kind}")
    time.sleep(1.1)  # the snapshot is written every half second
    s.kill_all()


def pair(program, folder):
    s = RelaySetup(program, folder, True)
    s.start()
    assert s.post("ops", "/v1/endpoints/e2/suspend") == 200
    s.servers["s1"].mode = 30000
    s.send_request("first-told", "status", 8)
    s.wait_for_requests("s1", "first-told")
    s.servers["e1"].mode = "hang"
    for name, kind in [("first-status", "status"), ("first-payment", "payment")]:
        s.send_request(name, kind, 7)
        s.wait_for_requests("e1", name)
    s.addresses["ops"] = free_port()
    s.start()
    s.processes[0].send_signal(signal.SIGTERM)
    time.sleep(0.5)  # by then it accepts no more connections
    s.send_request("second-untried", "payment", 8)  # the first process's Retry-After applies to the second
    s.servers["s2"].mode = 25000
    s.send_request("second-told", "order", 10, key="key-second")
    s.wait_for_requests("s2", "second-told")
    s.send_request("second-order", "order", 7, key="key-second-order")
    s.wait_for_requests("e1", "second-order")
    time.sleep(0.3)
    s.kill_all()


if __name__ == "__main__":
    single(sys.argv[1], sys.argv[2] + "/single")
    pair(sys.argv[1], sys.argv[2] + "/pair")
