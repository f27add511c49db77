#!/usr/bin/env python3
"""A toy partner on loopback: two endpoints of destination 7, and a platform that serves the endpoint list and takes
notifications."""
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ENDPOINTS = {"e1": 9001, "e2": 9002}


class Endpoint(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        time.sleep(random.uniform(0.05, 0.2))
        busy = random.random() < 0.1
        print(f"{self.server.name}: {self.headers['X-Txn']} {'rejected' if busy else 'delivered'} {body!r}", flush=True)
        self.send_response(429 if busy else 200)
        if busy:
            self.send_header("X-RateLimit-Wait-Ms", "500")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


class Platform(Endpoint):
    def do_GET(self):
        instances = [
            {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "ground", "machineType": "small",
             "cell": 7, "lifecycle": "ready", "weight": 20.0, "startedAtMs": 0}
            for name, port in ENDPOINTS.items()]
        line = json.dumps({"generation": 1, "reset": True, "instances": instances}) + "\n"
        self.send_response(200)
        if "follow=1" not in self.path:
            self.send_header("Content-Length", str(len(line)))
            self.end_headers()
            self.wfile.write(line.encode())
            return
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(f"{len(line):x}\r\n{line}\r\n".encode())
                self.wfile.flush()
                line = "\n"  # a heartbeat: the list has not changed
                time.sleep(2)
        except OSError:
            self.close_connection = True

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        print(f"platform: notification {body.decode().strip()}", flush=True)
        self.send_response(204)
        self.end_headers()


def serve(name, port, handler):
    server = ThreadingHTTPServer(("127.0.0.1", port), handler)
    server.daemon_threads = True
    server.name = name
    threading.Thread(target=server.serve_forever, daemon=True).start()


for endpoint_name, endpoint_port in ENDPOINTS.items():
    serve(endpoint_name, endpoint_port, Endpoint)
serve("platform", 8500, Platform)
print("the toy partner is listening; press Ctrl-C to stop it", flush=True)
try:
    while True:
        time.sleep(3600)
except KeyboardInterrupt:
    pass
