"""Stand-in for the platform of PROTOCOL.md: discovery, collectors, proxies and the supervisors' channel.

One process plays all of them against supervisors that run as separate processes. Requests are drawn by each
proxy from its table and answered by server models in this process, since a supervisor never sees a request.
The rules are checked as WIRE.md and PROTOCOL.md state them, on what proxies do.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SLACK_MS = 300.0  # PROTOCOL.md: time limits on empty tables and drains are longer by this
FIRST_MS = 1000.0  # PROTOCOL.md: and start no earlier than this after the first answer
EMPTY_LINE_S = 2.0  # PROTOCOL.md: discovery sends an empty line when nothing changes
TICK_S = 0.005


class CannotRun(Exception):
    """The case could not run; its verdict is neither held nor broken."""


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def write(self, text):
        self.file.write(f"{self.now():9.1f} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def base_settings(zones, proxies):
    """Settings in the form of WIRE.md, with figures of the site glostrup-foder."""

    def operation(name, effect, deadline, worth):
        return {"deadline_ms": deadline, "effect": effect, "group": "all", "late_value": 0.2, "name": name,
                "slo_ms": 1200.0, "window_ms": 2500.0, "worth": worth}

    return {
        "classes": [operation("box-view", "pure", 3000.0, 1.0), operation("box-add", "token", 4000.0, 2.0),
                    operation("order-place", "side_effect", 4000.0, 5.0)],
        "deductions": {"connection": 0.02, "cross_zone": 0.04, "handshake": 0.04, "late_fail": 0.05,
                       "membership_mode": 0.0, "moves": 0.0, "peer": 0.0, "probe": 0.02, "waste": 0.03},
        "domain_type": "control",
        "family_info": {
            "admit": "off", "backlog": 4400.0, "by_zone": False, "choice": "lottery", "cost_per_line": 0.02,
            "cycle_ms": 1000.0, "empty_for_ms": 2300.0, "fails_to_eject": 5, "first_wait": 0.8,
            "home_only": [False, False, False], "in_flight_max_ms": 4020.0, "ingest_rate": 250.0,
            "initial_set": 10, "key_ranges": 0, "lines_per_s": 2900.0, "messages_over_ms": 10000.0,
            "min_conn_cap": 155.0, "mutating": [False, True, True], "overhead": 10.0, "proxies": proxies,
            "push_delay_ms": 164.0, "reloads_max": 0, "retry_default": 0, "shift_fee": 0.01,
            "sole_owner": False, "tenure_ms": 2500.0, "waits_for_table_ms": 300.0, "warm_keys": True,
            "worst_transit_ms": 410.0},
        "fleet_size": 1,
        "invariants": {"ask_every_ms": 10000.0, "cold_from": 0.22, "cold_ms": 17000.0,
                       "drain_grace_ms": 2200.0, "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": ["model-a", "model-b", "model-c"],
        "load_info": {"columns": ["cpu", "active", "avg_ms"], "how": "inline"},
        "localities": zones, "locality": 0, "me": 0, "membership_mode": "pushed",
        "permissions": {"cpu_us_per_s": 400000, "dial_timeout_ms": 300.0, "keepalive_ms": 15000.0,
                        "peers": False, "probes": False, "streams_per_conn": 32},
        "resolution_ms": 5.0,
        "score_parts": {"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.2},
        "weights": "nominal", "worth_by": "request",
    }


class Server:
    """A server: its entry in discovery's list, and how it answers."""

    def __init__(self, name, zone, kind="model-a", weight=1.0, cell=0):
        self.name, self.zone, self.kind, self.weight, self.cell = name, zone, kind, weight, cell
        self.state, self.started_ms = "Ready", 0.0
        self.fail_share = 0.0
        self.up = True

    def entry(self):
        return {"id": self.name, "addr": "127.0.0.1:9", "zone": self.zone, "kind": self.kind,
                "cell": self.cell, "state": self.state, "weight": self.weight, "started_ms": self.started_ms}


class Fleet:
    """Discovery's list of servers, with versions. Each supervisor has an agent that writes it to watches."""

    def __init__(self, record):
        self.record = record
        self.version = 41
        self.servers = {}
        self.history = []  # (version, entry)
        self.agents = []

    def add(self, server):
        self.servers[server.name] = server

    def full(self):
        listed = [server.entry() for server in self.servers.values() if server.state != "Gone"]
        return {"version": self.version, "full": True, "servers": listed}

    def after(self, version):
        """The list that a watch is sent first: the changes after a version, or the whole list."""
        if version is None or not 41 <= version <= self.version:
            return self.full()
        latest = {entry["id"]: entry for at, entry in self.history if at > version}
        return {"version": self.version, "full": False, "servers": list(latest.values())} if latest else None

    def change(self, *servers):
        """Lists the present state of these servers and writes it to every watch."""
        self.version += 1
        entries = [server.entry() for server in servers]
        self.history += [(self.version, entry) for entry in entries]
        for agent in self.agents:
            agent.publish({"version": self.version, "full": False, "servers": entries})


class Agent:
    """The agent of discovery on a supervisor's machine."""

    def __init__(self, supervisor, fleet):
        self.supervisor, self.fleet = supervisor, fleet
        self.port = free_port()
        self.watches = []
        self.silent = set()
        fleet.agents.append(self)

    async def listen(self):
        return await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def publish(self, message):
        for watch in list(self.watches):
            self.send(watch, message)

    def send(self, writer, message):
        if writer in self.silent:
            return
        data = b"\n" if message is None else json.dumps(message, separators=(",", ":")).encode() + b"\n"
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except (ConnectionError, RuntimeError):
            return
        if message is not None:
            self.supervisor.told(message)

    def break_watches(self):
        """The watches break: their connections are reset."""
        for watch in self.watches:
            reset(watch)

    def silence_watches(self):
        """The watches fall silent: their connections stay open, and nothing is written any more."""
        self.silent.update(self.watches)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            if "watch=1" not in path:
                body = json.dumps(self.fleet.full()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            after = [int(part[6:]) for part in path.split("?")[1].split("&") if part.startswith("after=")]
            self.send(writer, self.fleet.after(after[0] if after else None))
            self.watches.append(writer)
            while not reader.at_eof():
                await asyncio.sleep(EMPTY_LINE_S)
                self.send(writer, None)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            self.silent.discard(writer)
            writer.close()


class Proxy:
    """A proxy: its tables, its stream, its requests, and what the rules say about it."""

    def __init__(self, world, number, zone, rps):
        self.world, self.number, self.zone, self.rps = world, number, zone, rps
        self.classes = [c["name"] for c in world.settings["classes"]]
        self.home_only = world.settings["family_info"]["home_only"]
        self.tables = [dict() for _ in self.classes]
        self.out = set()
        self.new = True
        self.running = True
        self.supervisor = None
        self.writer = None
        self.joined_at = None
        self.stream = 0
        self.last_apply = 0.0
        self.parts = []
        self.messages = []
        self.empty_since = [None] * len(self.classes)
        self.counts = {}
        self.demand = [[0, 0] for _ in self.classes]
        self.next_request = 0.0
        self.avoid = {}
        self.failures_in_row = {}

    def standing_table(self):
        ready = [s for s in self.world.fleet.servers.values() if s.state == "Ready"]
        near = [s for s in ready if s.zone == self.zone]
        pool = near if len(near) >= 3 else ready
        count = min(len(pool), self.world.settings["family_info"]["initial_set"])
        chosen = self.world.random.sample(pool, count)
        self.tables = [{s.name: 1.0 for s in chosen} for _ in self.classes]

    def usable(self, index):
        """The lines that the proxy may pick for a class."""
        servers = self.world.fleet.servers
        return {name: weight for name, weight in self.tables[index].items()
                if weight > 0 and name not in self.out
                and (not self.home_only[index] or servers[name].zone == self.zone)}

    async def run(self):
        """Keeps a stream to the supervisor; dials again after each break."""
        try:
            await self.keep_stream()
        finally:
            if self.writer is not None:
                self.writer.transport.abort()

    def choose_supervisor(self):
        """Dials the same supervisor again while it is up and not about to end, else another one."""
        up = [supervisor for supervisor in self.world.supervisors if supervisor.is_up()]
        if up and self.supervisor not in up:
            self.supervisor = self.world.random.choice(up)
        elif self.supervisor is None:
            self.supervisor = self.world.random.choice(self.world.supervisors)

    async def keep_stream(self):
        while not self.world.ending:
            self.choose_supervisor()
            try:
                reader, writer = await asyncio.open_connection(*self.supervisor.address, limit=1 << 21)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            if not self.running:
                reset(writer)
                await asyncio.sleep(0.1)
                continue
            self.stream += 1
            stream = self.stream
            self.writer, self.parts = writer, []
            hello = {"t": "hello", "id": self.number, "site": self.zone, "rps": self.rps, "new": self.new}
            writer.write(json.dumps(hello).encode() + b"\n")
            self.joined_at = self.world.record.now()
            self.messages = []
            self.empty_since = [None] * len(self.classes)
            self.world.record.write(f"proxy {self.number} joins {self.supervisor.name} new={self.new}")
            try:
                while True:
                    line = await reader.readuntil(b"\n")
                    self.received(json.loads(line), stream)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            if self.stream == stream:
                self.left()
            writer.close()
            await asyncio.sleep(self.world.redial_s())

    def left(self):
        if self.joined_at is not None:
            self.world.record.write(f"proxy {self.number} stream ended")
        self.joined_at, self.writer = None, None

    def restart(self):
        """The proxy dies; it comes back with a table that it draws anew, and nothing else."""
        self.break_stream()
        self.out, self.new = set(), True
        self.avoid, self.failures_in_row = {}, {}
        self.standing_table()

    def break_stream(self):
        """The stream breaks: the connection is reset."""
        writer = self.writer
        self.left()
        self.stream += 1
        if writer is not None:
            reset(writer)

    def received(self, push, stream):
        if push.get("t") != "push":
            self.world.record.write(f"proxy {self.number} got {push}")
            return
        self.parts.append(push)
        if push.get("more"):
            return
        parts, self.parts = self.parts, []
        now = self.world.record.now()
        self.messages.append(now)
        self.world.record.write(f"message to proxy {self.number}: {json.dumps(parts)[:1500]}")
        self.world.check_message_limit(self)
        self.supervisor.channel.enter(self, stream, parts, now)

    def apply(self, parts, stream, entered):
        """Applies a message, if its stream is still open."""
        if stream != self.stream or self.joined_at is None:
            return
        for part in parts:
            indices = [self.classes.index(name) for name in part.get("classes", self.classes)]
            for index in indices:
                if part.get("whole"):
                    self.tables[index] = {}
                if "lines" in part:
                    self.new = False
                for name, weight in part.get("lines", []):
                    if weight > 0:
                        self.tables[index][name] = weight
                    else:
                        self.tables[index].pop(name, None)
            self.out.update(part.get("out", []))
            self.out.difference_update(part.get("back", []))
            if "ticket" in part:
                took = max(self.world.record.now() - entered, 0.1)
                self.send({"t": "ack", "id": self.number, "seq": part["ticket"], "ms": round(took, 1)})
        self.world.record.write(f"proxy {self.number} applied; table {self.tables[0]} out {sorted(self.out)}")

    def send(self, message):
        if self.writer is not None:
            try:
                self.writer.write(json.dumps(message).encode() + b"\n")
            except (ConnectionError, RuntimeError):
                pass

    def request(self):
        """Sends one request by the table and records how it ended."""
        world = self.world
        index = world.pick_class()
        lines = self.usable(index)
        self.demand[index][0] += 1
        now = world.record.now()
        calm = {n: w for n, w in lines.items() if self.avoid.get(n, 0) < now} or lines
        if not calm:
            self.demand[index][1] += 1
            world.refused += 1
            world.record.write(f"request proxy {self.number} {self.classes[index]} refused: no line")
            return
        name = world.random.choices(list(calm), list(calm.values()))[0]
        server = world.fleet.servers[name]
        failed = not server.up or world.random.random() < server.fail_share
        world.record.write(f"request proxy {self.number} {self.classes[index]} {name} {'failed' if failed else 'ok'}")
        world.check_drain(self, name)
        count = self.counts.setdefault(name, [0, 0])
        count[0] += 1
        row = self.failures_in_row
        row[name] = row.get(name, 0) + 1 if failed else 0
        limit = world.settings["family_info"]["fails_to_eject"]
        if limit and row[name] >= limit:
            self.avoid[name] = now + world.avoid_ms
            row[name] = 0
        if failed:
            count[1] += 1
            self.demand[index][1] += 1


class Channel:
    """The supervisor's channel: one queue of limited rate, then a transit time; messages arrive in order."""

    def __init__(self, world):
        self.world = world
        family = world.settings["family_info"]
        self.rate, self.overhead = family["lines_per_s"], family["overhead"]
        self.mean, self.worst, self.backlog = family["push_delay_ms"], family["worst_transit_ms"], family["backlog"]
        self.slow = 1.0
        self.slow_limit = 1.0  # the factor by which the time limits grow on a day with a slow channel
        self.queue = []  # [proxy, stream, parts, entered, lines]
        self.transit = []  # (arrival, proxy, stream, parts, entered)
        self.credit = 0.0
        self.peak = 0.0

    @staticmethod
    def lines(parts):
        total = 0
        for part in parts:
            total += len(part.get("lines", [])) + len(part.get("out", [])) + len(part.get("back", []))
            total += ("level" in part) + ("ticket" in part) + bool(part.get("whole"))
        return total

    def enter(self, proxy, stream, parts, now):
        self.queue.append([proxy, stream, parts, now, self.lines(parts) + self.overhead])
        waiting = sum(item[4] for item in self.queue) - self.credit
        self.peak = max(self.peak, waiting)
        if waiting > self.backlog:
            self.world.broken("queue", f"{waiting:.0f} lines wait in the channel, {self.backlog:.0f} may")

    def advance(self, elapsed_s, now):
        # What waits for a stream that has ended is dropped.
        self.queue = [item for item in self.queue if item[1] == item[0].stream]
        self.credit = self.credit + elapsed_s * self.rate / self.slow if self.queue else 0.0
        while self.queue and self.credit >= self.queue[0][4]:
            proxy, stream, parts, entered, lines = self.queue.pop(0)
            self.credit -= lines
            delay = min(self.world.random.gauss(self.mean, self.mean / 4), self.worst)
            arrival = max(now + max(delay, 20.0), proxy.last_apply)
            proxy.last_apply = arrival
            self.transit.append((arrival, proxy, stream, parts, entered))
        due = [item for item in self.transit if item[0] <= now]
        self.transit = [item for item in self.transit if item[0] > now]
        for _, proxy, stream, parts, entered in sorted(due, key=lambda item: item[0]):
            proxy.apply(parts, stream, entered)


class Supervisor:
    """One supervisor's process, its address, its channel, and what it was told."""

    def __init__(self, world, index):
        self.world, self.index, self.name = world, index, f"n{index}"
        self.address = ("127.0.0.1", free_port())
        self.channel = Channel(world)
        self.agent = Agent(self, world.fleet)
        self.known = {}  # the list as it was told: name -> entry
        self.unready_since = {}
        self.first_answer = None
        self.process = None
        self.leaving = False  # SIGTERM has come

    def is_up(self):
        return self.process is not None and not self.leaving

    def told(self, message):
        now = self.world.record.now()
        self.world.record.write(f"{self.name} is told {json.dumps(message)[:600]}")
        if message["full"]:
            names = {entry["id"] for entry in message["servers"]}
            for name in list(self.known):
                if name not in names:
                    self.unready_since.setdefault(name, now)
                    del self.known[name]
        for entry in message["servers"]:
            name = entry["id"]
            if entry["state"] == "Ready":
                self.unready_since.pop(name, None)
            else:
                self.unready_since.setdefault(name, now)
            if entry["state"] == "Gone":
                self.known.pop(name, None)
            else:
                self.known[name] = entry

    def rules_from(self):
        return None if self.first_answer is None else self.first_answer + FIRST_MS

    def start(self, known=None):
        """Starts the supervisor by `run`; `known` is the list as it last held it."""
        world = self.world
        folder = Path(world.temporary.name) / self.name
        private = folder / "tmp"
        private.mkdir(parents=True, exist_ok=True)
        settings = json.loads(json.dumps(world.settings))
        settings["me"] = self.index
        settings["locality"] = self.index % len(settings["localities"])
        config = {
            "name": self.name, "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"127.0.0.1:{self.agent.port}", "seed": f"{world.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": world.sockets},
            "known": known if known is not None else world.fleet.full(), "settings": settings,
        }
        self.known, self.unready_since, self.first_answer = {}, {}, None
        self.leaving = False
        self.told(config["known"])
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=config["listen"],
                           ROUTER_DISCOVERY=config["discovery"], ROUTER_CONFIG=str(path), TMPDIR=str(private))
        world.record.write(f"{self.name} started")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=world.log, stderr=world.log, start_new_session=True)

    async def wait_ready(self):
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun("the supervisor ended at its start")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b'{"t":"probe"}\n')
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b"alive" in answer:
                    self.first_answer = self.world.record.now()
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the supervisor did not answer within 30 s")

    def kill(self):
        """Kills the process outright; its queue is lost and its streams are reset."""
        if self.process is None:
            return
        process, self.process = self.process, None
        if process.poll() is None:
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        self.first_answer = None
        self.channel.queue.clear()
        self.world.record.write(f"{self.name} killed")

    def check_running(self):
        if self.process is not None and not self.leaving and self.process.poll() is not None:
            self.world.broken("crash", f"{self.name} ended with {self.process.returncode}")
            self.process = None


class World:
    """The platform, the supervisors, and the checks of the rules."""

    def __init__(self, folder, settings, seed=1):
        self.record = Record(folder / "record.txt")
        self.log = open(folder / "supervisor.log", "wb")
        self.temporary = tempfile.TemporaryDirectory()
        self.settings = settings
        self.random = random.Random(seed)
        self.fleet = Fleet(self.record)
        self.supervisors = [Supervisor(self, index) for index in range(settings["fleet_size"])]
        self.proxies = []
        self.started = False
        self.ending = False
        self.violations = {}
        self.refused = 0
        self.sockets = 1024  # file descriptors that the platform grants
        self.avoid_ms = 3000.0
        self.tasks = []
        self.class_weights = [0.53, 0.38, 0.09]

    # What the stand-ins draw.
    def pick_class(self):
        return self.random.choices(range(len(self.class_weights)), self.class_weights)[0]

    def redial_s(self):
        return self.random.uniform(0.2, 2.4)

    # The checks.
    def broken(self, rule, text):
        if rule not in self.violations:
            print(f"rule {rule} broken: {text}", flush=True)
        self.violations.setdefault(rule, []).append(text)
        self.record.write(f"VIOLATION {rule}: {text}")

    def check_drain(self, proxy, name):
        supervisor = proxy.supervisor
        if proxy.joined_at is None or name not in supervisor.unready_since or supervisor.rules_from() is None:
            return
        grace = self.settings["invariants"]["drain_grace_ms"] * supervisor.channel.slow_limit + SLACK_MS
        start = max(supervisor.unready_since[name], proxy.joined_at, supervisor.rules_from())
        late = self.record.now() - start - grace
        if late > 0:
            self.broken("drain", f"proxy {proxy.number} sends to {name}, {late:.0f} ms after the grace of {grace:.0f} ms"
                                 f"; it was written {len(self.recent_messages(proxy))} messages within the last span")

    def recent_messages(self, proxy):
        """When the proxy was written messages within the span of the limit, since its joining."""
        earliest = self.record.now() - self.settings["family_info"]["messages_over_ms"]
        return [at for at in proxy.messages if at > earliest]

    def check_message_limit(self, proxy):
        limit, written = self.settings["family_info"]["reloads_max"], len(self.recent_messages(proxy))
        if 0 < limit < written:
            self.broken("queue", f"proxy {proxy.number} was written {written} messages within the span")

    def check_empty(self, now):
        cold = self.settings["invariants"]["cold_ms"]
        unix_ms = time.time() * 1000.0
        warm = {}
        for supervisor in self.supervisors:
            warm[supervisor.name] = [
                entry for entry in supervisor.known.values() if entry["state"] == "Ready"
                and (entry["started_ms"] <= 0 or unix_ms - entry["started_ms"] >= cold)]
        for proxy in self.proxies:
            if proxy.joined_at is None or proxy.supervisor.rules_from() is None:
                proxy.empty_since = [None] * len(proxy.classes)
                continue
            limit = self.settings["family_info"]["empty_for_ms"] * proxy.supervisor.channel.slow_limit + SLACK_MS
            for index, name in enumerate(proxy.classes):
                is_open = any(not proxy.home_only[index] or entry["zone"] == proxy.zone
                              for entry in warm[proxy.supervisor.name])
                if not is_open or proxy.usable(index):
                    proxy.empty_since[index] = None
                    continue
                if proxy.empty_since[index] is None:
                    proxy.empty_since[index] = max(now, proxy.supervisor.rules_from())
                elif now - proxy.empty_since[index] > limit:
                    self.broken("empty", f"proxy {proxy.number} has had no line for {name} for over {limit:.0f} ms")
                    proxy.empty_since[index] = now

    # The collectors.
    async def collect(self, zone, supervisor):
        while not self.ending:
            writer = None
            try:
                _, writer = await asyncio.open_connection(*supervisor.address)
                writer.write(json.dumps({"t": "agent", "site": zone}).encode() + b"\n")
                while not self.ending:
                    await asyncio.sleep(self.settings["family_info"]["cycle_ms"] / 1000.0)
                    for line in self.sums(zone, supervisor):
                        writer.write(json.dumps(line).encode() + b"\n")
                    await writer.drain()
            except OSError:
                await asyncio.sleep(0.3)
            finally:
                if writer is not None:
                    writer.transport.abort()

    def sums(self, zone, supervisor):
        over = self.settings["family_info"]["cycle_ms"]
        totals = {}
        for proxy in self.proxies:
            if proxy.zone != zone or proxy.joined_at is None or proxy.supervisor is not supervisor:
                continue
            for name, (count, fail) in proxy.counts.items():
                total = totals.setdefault(name, [0, 0])
                total[0] += count
                total[1] += fail
            proxy.counts = {}
            for index, (count, fail) in enumerate(proxy.demand):
                if count:
                    proxy.send({"t": "demand", "id": proxy.number, "lane": proxy.classes[index], "count": count,
                                "fail": fail, "over": over})
            proxy.demand = [[0, 0] for _ in proxy.classes]
        for name, (count, fail) in totals.items():
            mean = round(self.random.uniform(180.0, 260.0), 1) if count > fail else 0.0
            yield {"t": "outcomes", "site": zone, "target": name, "count": count, "fail": fail, "mean": mean,
                   "over": over, "util": {"cpu": 0.5, "active": 3, "avg_ms": 200.0}}

    async def tick(self):
        last = self.record.now()
        while not self.ending:
            await asyncio.sleep(TICK_S)
            now = self.record.now()
            for supervisor in self.supervisors:
                supervisor.channel.advance((now - last) / 1000.0, now)
                supervisor.check_running()
            last = now
            for proxy in self.proxies:
                while proxy.next_request <= now and self.started and proxy.running:
                    proxy.next_request = max(proxy.next_request, now - 100.0)
                    proxy.next_request += self.random.expovariate(proxy.rps) * 1000.0
                    proxy.request()
            self.check_empty(now)
            if "crash" in self.violations:
                self.ending = True

    async def start(self):
        for supervisor in self.supervisors:
            server = await supervisor.agent.listen()
            self.tasks.append(asyncio.create_task(server.serve_forever()))
            supervisor.start()
        for supervisor in self.supervisors:
            await supervisor.wait_ready()
        for proxy in self.proxies:
            proxy.standing_table()
            self.tasks.append(asyncio.create_task(proxy.run()))
            await asyncio.sleep(0.02)
        for supervisor in self.supervisors:
            for zone in self.settings["localities"]:
                self.tasks.append(asyncio.create_task(self.collect(zone, supervisor)))
        self.started = True
        self.tasks.append(asyncio.create_task(self.tick()))

    def stop(self):
        self.ending = True
        for supervisor in self.supervisors:
            supervisor.kill()
        for task in self.tasks:
            task.cancel()


def run_case(folder, world, scenario):
    """Runs a scenario and returns the exit code: 1 broken, 0 held, 2 could not run."""

    async def main():
        try:
            await world.start()
            await scenario(world)
        finally:
            world.stop()
            ends = await asyncio.gather(*world.tasks, return_exceptions=True)
        failures = [end for end in ends if isinstance(end, Exception)]
        if failures:
            raise CannotRun(f"a stand-in failed: {failures[0]!r}")

    failure = None
    try:
        asyncio.run(asyncio.wait_for(main(), 115.0))
    except Exception as error:  # whatever went wrong with the case itself is no verdict on the rule
        failure = error
    rules = {rule: len(found) for rule, found in world.violations.items()}
    peak = max(supervisor.channel.peak for supervisor in world.supervisors)
    summary = f"violations {rules}; longest queue {peak:.0f} lines; refused {world.refused}"
    if failure is not None:
        summary = f"could not run: {failure!r}; {summary}"
    world.record.write(summary)
    world.record.close()
    world.log.close()
    world.temporary.cleanup()
    print(summary)
    if failure is not None:
        return 2
    return 1 if world.violations else 0
