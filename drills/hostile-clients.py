#!/usr/bin/env python3
"""Plays hostile clients against each listener of the two supervisors, and prints memory and response times.

    drills/hostile-clients.py             all pictures, after `cargo build --release --workspace`
    drills/hostile-clients.py sasp-stop   the pictures of this name

Each picture starts a process of its own from target/release, with limits of 32 MB and 1,024 sockets where the
configuration has limits. Printed are the peak of the resident memory while the picture lasts, its value at the end, and
how long a well-behaved client waited for its answers meanwhile. Python 3.11 and its library; loopback alone. Each
picture ends by itself after some seconds.
"""

import json
import os
import pathlib
import re
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
MEMORY_MB, SOCKETS = 32, 1024
CLIENTS = 900
FLOOD_S = 5.0
# Memory of `shalereeld` for all connections, of 32 MB; CONNECTIONS="" for a version without the key.
CONNECTIONS = os.environ.get("CONNECTIONS", "connections_mb = 8.0\n")
NODE_SETTINGS = {
    "classes": [{"deadline_ms": 3000.0, "effect": "pure", "name": "look", "slo_ms": 1000.0, "worth": 1.0}],
    "family_info": {
        "admit": "off", "backlog": 4400.0, "cycle_ms": 1000.0, "empty_for_ms": 3000.0, "first_wait": 0.8,
        "lines_per_s": 2900.0, "overhead": 10.0, "proxies": 9, "push_delay_ms": 164.0, "retry_default": 0,
        "worst_transit_ms": 410.0},
    "fleet_size": 1,
    "invariants": {"cold_from": 0.3, "cold_ms": 9000.0, "drain_grace_ms": 2200.0, "fall_ms": 2000.0, "tip_multiple": 2.5},
    "kinds": ["big"], "load_info": {"columns": ["cpu"], "how": "inline"}, "localities": ["north"], "locality": 0,
    "me": 0, "membership_mode": "pushed", "permissions": {"probes": True}, "resolution_ms": 5.0, "weights": "nominal"}


def entry(name, address):
    return {"id": name, "addr": address, "zone": "north", "kind": "big", "cell": 0, "state": "Ready", "weight": 1.0,
            "started_ms": 0.0}


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    return listener, "%s:%d" % listener.getsockname()


def serve(respond):
    """Accepts connections and runs `respond` on each in a thread of its own; returns the address."""
    listener, address = listen()

    def run():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=guarded, args=(respond, connection), daemon=True).start()

    threading.Thread(target=run, daemon=True).start()
    return address


def guarded(respond, connection):
    try:
        respond(connection)
    except OSError:
        pass


def quiet_discovery(connection):
    connection.recv(65536)
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        connection.sendall(b"1\r\n\n\r\n")
        time.sleep(2.0)


class Watched:
    """A process whose resident memory is sampled."""

    def __init__(self, command, **arguments):
        self.process = subprocess.Popen(command, **arguments)
        self.peak_kb = self.last_kb = 0
        threading.Thread(target=self.sample, daemon=True).start()

    def sample(self):
        while self.process.poll() is None:
            try:
                status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            except OSError:
                return
            found = re.search(r"VmRSS:\s+(\d+)", status)
            self.last_kb = int(found[1]) if found else self.last_kb
            self.peak_kb = max(self.peak_kb, self.last_kb)
            time.sleep(0.01)

    def end(self):
        ended = self.process.poll()
        if ended is None:
            self.process.kill()
            self.process.wait()
        return ended


def start_node(folder, discovery=None, known=None):
    listener, address = listen()
    listener.close()
    config = {
        "name": "n0", "listen": address, "discovery": discovery or serve(quiet_discovery), "seed": "00000000000000ff",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"version": 3, "full": True, "servers": known or [entry("s-1", "127.0.0.1:9"), entry("s-2", "127.0.0.1:9")]},
        "settings": NODE_SETTINGS}
    path = pathlib.Path(folder, "config.json")
    path.write_text(json.dumps(config))
    watched = Watched([ROOT / "target/release/shalereel", "node"], stdout=open(pathlib.Path(folder, "log"), "w"),
                      stderr=subprocess.STDOUT, env=dict(os.environ, ROUTER_CONFIG=str(path)))
    watched.address = host_and_port(address)
    wait_until_alive(watched.address)
    return watched


def start_daemon(folder):
    text = (ROOT / "crates/cli/tests/days/sasp-supervisor.toml").read_text()
    text = text.replace("REGISTRY", "127.0.0.1:9").replace("FOLDER", str(pathlib.Path(folder, "state")))
    path = pathlib.Path(folder, "supervisor.toml")
    path.write_text(CONNECTIONS + text)
    watched = Watched([ROOT / "target/release/shalereeld", "--config", path], stdout=subprocess.PIPE, stdin=subprocess.PIPE,
                      stderr=open(pathlib.Path(folder, "log"), "w"))
    ready = watched.process.stdout.readline().decode()
    watched.grpc, watched.sasp = [host_and_port(a) for a in re.findall(r"127\.0\.0\.1:\d+", ready)[:2]]
    return watched


def host_and_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def connect(address, timeout=5.0):
    connection = socket.create_connection(address, timeout)
    connection.settimeout(timeout)
    return connection


def wait_until_alive(address):
    for _ in range(500):
        try:
            probe(connect(address, 1.0))
            return
        except OSError:
            time.sleep(0.02)
    raise SystemExit("the supervisor did not start")


def probe(connection):
    begun = time.monotonic()
    connection.sendall(b'{"t":"probe"}\n')
    if not connection.recv(4096):
        raise OSError("closed")
    return time.monotonic() - begun


def health(address):
    """Calls the gRPC health service on a new connection."""
    begun = time.monotonic()
    connection = connect(address)
    connection.sendall(preface() + headers(1, "/grpc.health.v1.Health/Check") + frame(0, 1, 1, struct.pack(">BI", 0, 0)))
    wait_for_frame(connection, 1)
    connection.close()
    return time.monotonic() - begun


def wait_for_frame(connection, kind):
    """Reads HTTP/2 frames until one of this kind has come."""
    received = b""
    while True:
        while len(received) >= 9:
            length, found = int.from_bytes(received[:3], "big"), received[3]
            if len(received) < 9 + length:
                break
            if found == kind:
                return
            received = received[9 + length:]
        piece = connection.recv(65536)
        if not piece:
            raise OSError("closed")
        received += piece


def open_http2(address, count):
    """Opens connections, and acknowledges the settings, which allow more bytes to be sent."""
    connections = open_many(address, count, preface())
    for connection in connections:
        wait_for_frame(connection, 4)
        connection.sendall(frame(4, 1, 0, b""))
    return connections


def sasp_answer(address):
    """Asks for weights of an unknown group; any answer counts."""
    begun = time.monotonic()
    connection = connect(address)
    connection.sendall(sasp_message(0x1030, b""))
    connection.recv(4096)
    connection.close()
    return time.monotonic() - begun


class Bystander:
    """A well-behaved client that asks ten times a second until it is stopped."""

    def __init__(self, ask):
        self.ask, self.times, self.failed, self.stopped = ask, [], 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            try:
                self.times.append(self.ask())
            except OSError:
                self.failed += 1
            time.sleep(0.1)

    def stop(self):
        self.stopped = True
        self.thread.join(6.0)


def node_bystander(node):
    kept = []

    def ask():
        if not kept:
            kept.append(connect(node.address))
            kept[0].sendall(b'{"t":"agent","site":"north"}\n')
        try:
            return probe(kept[0])
        except OSError:
            kept.clear()
            raise

    return Bystander(ask)


def preface():
    return b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, b"")


def frame(kind, flags, stream, payload):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def literal(name, value):
    return bytes([0, len(name)]) + name.encode() + bytes([len(value)]) + value.encode()


def headers(stream, path, more=(), ends=True):
    fields = [(":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "x"),
              ("content-type", "application/grpc"), ("te", "trailers"), *more]
    return frame(1, 4 if ends else 0, stream, b"".join(literal(*field) for field in fields))


def sasp_message(kind, body, size=None):
    component = struct.pack(">HH", kind, 4 + len(body)) + body
    header = struct.pack(">HHBII", 0x2010, 13, 1, size or 13 + len(component), 7)
    return header + component


def send_all_slowly(connections, payload, piece=65536, seconds=20.0):
    """Sends the payload on all connections, a piece at a time, as far as they take it."""
    sent = [0] * len(connections)
    deadline = time.monotonic() + seconds
    for connection in connections:
        connection.setblocking(False)
    while time.monotonic() < deadline and any(done is not None and done < len(payload) for done in sent):
        for index, connection in enumerate(connections):
            if sent[index] is None or sent[index] >= len(payload):
                continue
            try:
                sent[index] += connection.send(payload[sent[index]:sent[index] + piece])
            except BlockingIOError:
                pass
            except OSError:
                sent[index] = None
        time.sleep(0.001)
    return sum(done is None for done in sent)


def open_many(address, count, greeting=b""):
    connections = []
    for _ in range(count):
        try:
            connection = connect(address, 2.0)
            connection.sendall(greeting)
            connections.append(connection)
        except OSError:
            pass
    return connections


def report(name, watched, bystander, note=""):
    bystander.stop()
    time.sleep(1.0)
    last, ended = watched.last_kb, watched.end()
    times = sorted(bystander.times) or [float("nan")]
    text = f"{name}: peak {watched.peak_kb / 1024:.1f} MB, at the end {last / 1024:.1f} MB; "
    text += f"answers: {len(bystander.times)}, failed {bystander.failed}, median {times[len(times) // 2] * 1e3:.1f} ms, "
    text += f"longest {times[-1] * 1e3:.1f} ms"
    print(text + (f"; {note}" if note else "") + (f"; ENDED with {ended}" if ended is not None else ""), flush=True)


AGENT = b'{"t":"agent","site":"north"}\n'


def node_stop(folder):
    """Hundreds of joined clients stop half way through a line of 1 MiB."""
    node = start_node(folder)
    bystander = node_bystander(node)
    time.sleep(1.0)
    clients = open_many(node.address, CLIENTS, AGENT)
    closed = send_all_slowly(clients, b'{"t":"outcomes","site":"' + b"a" * 1_000_000, 1 << 20, 8.0)
    time.sleep(2.0)
    report("node-stop", node, bystander, f"{len(clients)} clients, {closed} closed")


def node_slow(folder):
    """Hundreds of clients that have not joined write slowly."""
    node = start_node(folder)
    bystander = node_bystander(node)
    time.sleep(1.0)
    clients = open_many(node.address, CLIENTS)
    closed = send_all_slowly(clients, b'{"t":"hello","site":"' + b"a" * 4000, 64, 8.0)
    report("node-slow", node, bystander, f"{len(clients)} clients, {closed} closed")


def node_fields(folder):
    """Joined clients send lines of very many short fields."""
    node = start_node(folder)
    bystander = node_bystander(node)
    time.sleep(1.0)
    fields = ",".join(f'"{index:x}":1' for index in range(90_000))
    line = f'{{"t":"outcomes","site":"north","target":"s-1","count":1,"fail":0,"mean":1.0,"over":1000.0,"util":{{{fields}}}}}\n'
    clients = open_many(node.address, 300, AGENT)
    closed = send_all_slowly(clients, line.encode()[: (1 << 20) - 1] + b"\n", 1 << 20, 8.0)
    report("node-fields", node, bystander, f"{len(clients)} clients, {closed} closed")


def flood(address, greeting, lines, seconds=FLOOD_S, read=True):
    """Sends pieces at full speed on one connection; returns the bytes sent and how often it was closed."""
    sent, closed, end = 0, 0, time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            connection = connect(address, 2.0)
            connection.sendall(greeting)
            for piece in lines():
                sent += connection.send(piece)
                if time.monotonic() > end:
                    break
        except TimeoutError:
            pass
        except OSError:
            closed += 1
    return f"{sent / 1e6:.0f} MB sent, closed {closed} times"


def node_flood(folder):
    """One client sends small sound reports at full speed."""
    node = start_node(folder)
    bystander = node_bystander(node)
    line = b'{"t":"outcomes","site":"north","target":"s-1","count":1,"fail":0,"mean":1.0,"over":1000.0}\n' * 500
    note = flood(node.address, AGENT, lambda: iter(lambda: line, None))
    report("node-flood", node, bystander, note)


def node_unsound(folder):
    """One client sends small unsound requests at full speed."""
    node = start_node(folder)
    bystander = node_bystander(node)
    note = flood(node.address, AGENT, lambda: iter(lambda: b'{"t":"x"}\n' * 5000, None))
    report("node-unsound", node, bystander, note)


def node_names(folder):
    """One client sends reports under ever new names at full speed."""
    node = start_node(folder)
    bystander = node_bystander(node)

    def lines():
        number = 0
        while True:
            number += 200
            yield b"".join(
                b'{"t":"outcomes","site":"z%d","target":"t-%d","count":1,"fail":0,"mean":1.0,"over":1000.0}\n' % (n, n)
                for n in range(number, number + 200))

    note = flood(node.address, AGENT, lines)
    report("node-names", node, bystander, note)


def node_joins(folder):
    """One proxy joins again and again at full speed, each time on a new connection."""
    node = start_node(folder)
    bystander = node_bystander(node)
    end, joins = time.monotonic() + FLOOD_S, 0
    while time.monotonic() < end:
        try:
            connection = connect(node.address, 2.0)
            connection.sendall(b'{"t":"hello","id":3,"site":"north","rps":1.0,"new":false}\n' + b'{"t":"demand","id":3,"lane":"look","count":1,"fail":0,"over":1000.0}\n' * 50)
            connection.close()
            joins += 1
        except OSError:
            pass
    report("node-joins", node, bystander, f"{joins} joins")


def node_unread(folder):
    """Hundreds of joined clients ask and never read the answers."""
    node = start_node(folder)
    bystander = node_bystander(node)
    clients = open_many(node.address, CLIENTS, AGENT)
    closed = send_all_slowly(clients, b'{"t":"probe"}\n' * 600_000, 1 << 18, 10.0)
    report("node-unread", node, bystander, f"{len(clients)} clients, {closed} closed")


def discovery_long(folder):
    """Discovery stops half way through a list that never ends."""

    def respond(connection):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            connection.sendall(b"100000\r\n" + b"a" * 0x100000 + b"\r\n")

    node = start_node(folder, serve(respond))
    bystander = node_bystander(node)
    time.sleep(FLOOD_S)
    report("discovery-long", node, bystander)


def discovery_head(folder):
    """Discovery answers with a head of very many short fields."""

    def respond(connection):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\n")
        while True:
            connection.sendall(b"a:b\r\n" * 10_000)

    node = start_node(folder, serve(respond))
    bystander = node_bystander(node)
    time.sleep(FLOOD_S)
    report("discovery-head", node, bystander)


def discovery_unsound(folder):
    """Discovery sends unsound entries at full speed."""

    def respond(connection):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        number = 0
        while True:
            number += 1
            text = json.dumps({"version": number + 3, "full": False, "servers": [{"id": f"s-{number}", "state": 7}] * 20}) + "\n"
            connection.sendall(f"{len(text):x}\r\n{text}\r\n".encode())

    node = start_node(folder, serve(respond))
    bystander = node_bystander(node)
    time.sleep(FLOOD_S)
    report("discovery-unsound", node, bystander)


def daemon_bystander(daemon, front):
    return Bystander((lambda: sasp_answer(daemon.sasp)) if front == "sasp" else (lambda: health(daemon.grpc)))


def sasp_stop(folder):
    """300 clients stop in a SASP message of 4 MiB."""
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "sasp")
    payload = sasp_message(0x1010, b"", 4 << 20) + b"\0" * ((4 << 20) - 100)
    clients = open_many(daemon.sasp, 300)
    closed = send_all_slowly(clients, payload, 1 << 18, 15.0)
    time.sleep(3.0)
    report("sasp-stop", daemon, bystander, f"{len(clients)} clients, {closed} closed")


def sasp_flood(folder):
    """One client asks for weights of ever new groups at full speed, and does not read."""
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "sasp")
    note = flood(daemon.sasp, b"", lambda: iter(lambda: sasp_message(0x1030, b"") * 2000, None))
    report("sasp-flood", daemon, bystander, note)


def calls_stop(name, folder, path):
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "grpc")
    clients = open_http2(daemon.grpc, 20)
    length = (4 << 20) - 100
    for client in clients:
        for call in range(16):
            client.sendall(headers(2 * call + 1, path) + frame(0, 0, 2 * call + 1, struct.pack(">BI", 0, length)))
    time.sleep(0.5)
    closed = 0
    for _ in range(length // 16384):
        piece = b"".join(frame(0, 0, 2 * call + 1, b"\0" * 16000) for call in range(16))
        for client in list(clients):
            try:
                client.sendall(piece)
            except OSError:
                clients.remove(client)
                closed += 1
    time.sleep(3.0)
    report(name, daemon, bystander, f"20 clients with 16 calls each, {closed} closed")


def xds_stop(folder):
    """20 clients with 16 discovery calls each stop in a message of 4 MiB."""
    calls_stop("xds-stop", folder, "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources")


def lrs_stop(folder):
    """20 clients with 16 load reporting calls each stop in a message of 4 MiB."""
    calls_stop("lrs-stop", folder, "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats")


def xds_fields(folder):
    """Hundreds of clients send heads of very many short fields, and stop before the end of the head."""
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "grpc")
    head = headers(1, "/x", [("a", "b")] * 2500, ends=False)
    clients = open_many(daemon.grpc, 300, preface() + head)
    time.sleep(3.0)
    report("xds-fields", daemon, bystander, f"{len(clients)} clients")


def xds_idle(folder):
    """Hundreds of clients connect and say nothing further."""
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "grpc")
    clients = open_http2(daemon.grpc, 900)
    time.sleep(3.0)
    report("xds-idle", daemon, bystander, f"{len(clients)} clients")


def flooded_calls(name, folder, path, message):
    daemon = start_daemon(folder)
    bystander = daemon_bystander(daemon, "grpc")

    def lines():
        yield headers(1, path)
        number = 0
        while True:
            number += 1
            text = message(number)
            yield frame(0, 0, 1, (struct.pack(">BI", 0, len(text)) + text) * 20)

    note = flood(daemon.grpc, preface(), lines)
    report(name, daemon, bystander, note)


def field(number, payload):
    return bytes([number << 3 | 2, len(payload)]) + payload


def lrs_names(folder):
    """One client reports load under ever new node and cluster names at full speed."""
    path = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
    message = lambda n: field(1, field(1, b"node-%d" % n)) + field(2, field(1, b"cluster-%d" % n))
    flooded_calls("lrs-names", folder, path, message)


def xds_names(folder):
    """One client subscribes to ever new resource names at full speed."""
    path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
    url = b"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    message = lambda n: field(2, field(1, b"node-1")) + field(3, b"name-%d" % n) + field(4, url)
    flooded_calls("xds-names", folder, path, message)


def main():
    pictures = [node_stop, node_slow, node_fields, node_flood, node_unsound, node_names, node_joins, node_unread, discovery_long,
                discovery_head, discovery_unsound, sasp_stop, sasp_flood, xds_stop, lrs_stop, xds_fields, xds_idle, lrs_names, xds_names]
    wanted = {name.replace("-", "_") for name in sys.argv[1:]}
    for picture in pictures:
        if not wanted or picture.__name__ in wanted:
            with tempfile.TemporaryDirectory() as folder:
                picture(folder)


if __name__ == "__main__":
    main()
