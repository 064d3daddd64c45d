"""A small stand-in of the operators' platform for one or more supervisors (`run` of deploy/balancer.toml).

Discovery, proxies, collectors and servers live in one asyncio program. Discovery, the proxies' streams and the
collectors are real TCP connections on loopback, as PROTOCOL.md describes them. Requests and servers are played inside
the program: what a proxy does with a request follows from the tables it was sent.
"""
import asyncio, collections, json, os, random, signal, socket, subprocess, sys, time, tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
        return tomllib.load(f)["run"]


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Supervisor:
    """One supervisor process, started with the `run` command of the deploy file."""

    def __init__(self, folder, config, record):
        self.folder, self.config, self.record = folder, config, record
        self.path = os.path.join(folder, config["name"] + ".json")
        self.process = None
        host, port = config["listen"].rsplit(":", 1)
        self.address = (host, int(port))

    def start(self):
        with open(self.path, "w") as f:
            json.dump(self.config, f)
        tmp = os.path.join(self.folder, self.config["name"] + ".tmp")
        os.makedirs(tmp, exist_ok=True)
        env = dict(os.environ, ROUTER_CONFIG=self.path, ROUTER_NAME=self.config["name"],
                   ROUTER_LISTEN=self.config["listen"], ROUTER_DISCOVERY=self.config["discovery"], TMPDIR=tmp)
        if os.environ.get("SUPERVISOR_LOG"):
            env["SHALEREEL_LOG"] = os.environ["SUPERVISOR_LOG"]
        self.log = open(os.path.join(self.folder, self.config["name"] + ".log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record(f"supervisor {self.config['name']}: `{run_command()}` started, pid {self.process.pid}")

    async def wait_alive(self, timeout=30):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                r, w = await asyncio.open_connection(*self.address)
                w.write(b'{"t":"probe"}\n')
                line = await asyncio.wait_for(r.readline(), 2)
                w.close()
                if b"alive" in line:
                    self.record(f"supervisor {self.config['name']}: alive")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def exited(self):
        return self.process.poll()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Discovery:
    """The agent of discovery at one supervisor: the whole list, or a watch with the changes."""

    def __init__(self, record, host="127.0.0.1"):
        self.record, self.host = record, host
        self.port = free_port(host)
        self.version = 1
        self.servers = {}      # id -> entry
        self.changed_at = {}   # id -> version
        self.watches = set()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def listed(self):
        return [e for e in self.servers.values() if e["state"] != "Gone"]

    def known(self):
        return {"version": self.version, "full": True, "servers": self.listed()}

    def change(self, entries):
        """Lists new states; every open watch is written at once. Returns when that happened."""
        self.version += 1
        for e in entries:
            self.servers[e["id"]] = dict(e)
            self.changed_at[e["id"]] = self.version
        line = {"version": self.version, "full": False, "servers": entries}
        for w in list(self.watches):
            self.write(w, line)
        self.record(f"discovery: version {self.version}, {[(e['id'], e['state']) for e in entries]}")
        return time.monotonic()

    def write(self, writer, obj):
        data = (json.dumps(obj) + "\n").encode() if obj is not None else b"\n"
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except Exception:
            self.watches.discard(writer)

    async def serve(self, reader, writer):
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            self.record(f"discovery: {request.strip()}")
            if "watch=1" not in request:
                body = json.dumps(self.known()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            after = None
            if "after=" in request:
                after = int(request.split("after=")[1].split()[0].split("&")[0])
            if after is None or after > self.version:
                self.write(writer, self.known())
            else:
                changes = [self.servers[s] for s, v in self.changed_at.items() if v > after]
                self.write(writer, {"version": self.version, "full": False, "servers": changes})
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2)
                self.write(writer, None)
                await writer.drain()
        except (OSError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Channel:
    """A supervisor's channel: messages leave it one after the other at the pace of the settings, then travel."""

    def __init__(self, settings, rng):
        f = settings["family_info"]
        self.rate, self.overhead = f["lines_per_s"], f["overhead"]
        self.mean, self.worst = f["push_delay_ms"] / 1000, f["worst_transit_ms"] / 1000
        self.capacity = f["backlog"]
        self.free_at = 0.0
        self.rng = rng
        self.waiting = []      # (leaves_at, lines)
        self.most = 0.0

    def enter(self, lines):
        """Returns when the message reaches the proxy."""
        now = time.monotonic()
        self.waiting = [(at, n) for at, n in self.waiting if at > now]
        cost = lines + self.overhead
        self.free_at = max(self.free_at, now) + cost / self.rate
        self.waiting.append((self.free_at, cost))
        self.most = max(self.most, sum(n for _, n in self.waiting))
        low = max(0.0, 2 * self.mean - self.worst)
        return self.free_at + self.rng.uniform(low, min(self.worst, 2 * self.mean - low))


class Proxy:
    """A plain proxy: it follows its tables and joins a supervisor on a stream of its own."""

    def __init__(self, platform, number, zone, rps, table):
        self.platform, self.number, self.zone, self.rps = platform, number, zone, rps
        self.new = True
        self.tables = {c: dict(table) for c in platform.classes}
        self.out = set()
        self.retry = {c: 0 for c in platform.classes}
        self.joined_at = None
        self.writer = None
        self.cut = False
        self.parts = []
        self.last_delivery = 0.0
        self.travelling = collections.deque()
        self.counts = {}       # (class) -> requests, failures in this cycle
        self.avoid = {}        # server -> until
        self.in_row = {}
        self.generation = 0
        self.acks = 0

    def candidates(self, cls):
        """Lines that a request of the class may pick."""
        own_zone = self.platform.home_only(cls)
        return {s: w for s, w in self.tables[cls].items()
                if w > 0 and s not in self.out and (not own_zone or self.platform.zone_of(s) == self.zone)}

    async def run(self, supervisor):
        p = self.platform
        while not p.ending:
            try:
                while self.cut and not p.ending:
                    await asyncio.sleep(0.05)
                reader, writer = await asyncio.open_connection(*supervisor.address, limit=1 << 21)
                self.writer = writer
                self.generation += 1
                self.parts = []
                self.send({"t": "hello", "id": self.number, "site": self.zone, "rps": self.rps, "new": self.new})
                self.joined_at = time.monotonic()
                p.record(f"proxy {self.number}: joined, new {self.new}")
                while True:
                    line = await reader.readline()
                    if not line:
                        break
                    if self.cut:
                        break
                    self.received(json.loads(line))
            except (OSError, ConnectionError) as error:
                pass
            self.joined_at = None
            if self.writer:
                self.writer.transport.abort()
                self.writer = None
            if not p.ending:
                p.record(f"proxy {self.number}: stream ended")
                await asyncio.sleep(p.rng.uniform(0.2, 0.6))

    def send(self, obj):
        if self.writer and not self.cut:
            self.platform.record(f"from proxy {self.number}: {json.dumps(obj)}")
            self.writer.write((json.dumps(obj) + "\n").encode())

    def received(self, message):
        if message.get("t") == "error":
            self.platform.record(f"proxy {self.number}: error {message}")
            return
        self.parts.append(message)
        if message.get("more"):
            return
        parts, self.parts = self.parts, []
        self.platform.record(f"to proxy {self.number}: {json.dumps(parts)}")
        lines = 0
        for m in parts:
            lines += len(m.get("lines", [])) + len(m.get("out", [])) + len(m.get("back", []))
            lines += int("level" in m) + int("ticket" in m) + int(bool(m.get("whole")))
        arrives = max(self.platform.channel.enter(lines), self.last_delivery)
        self.last_delivery = arrives
        entered = time.monotonic()
        generation = self.generation
        # Messages reach a proxy in the order in which they were written.
        self.travelling.append((parts, generation, entered))
        asyncio.get_running_loop().call_later(max(0, arrives - entered), self.apply)

    def apply(self):
        parts, generation, entered = self.travelling.popleft()
        if generation != self.generation or self.writer is None or self.cut:
            return
        for m in parts:
            for c in m.get("classes") or list(self.tables):
                if m.get("whole"):
                    self.tables[c] = {}
                for s, w in m.get("lines", []):
                    if w > 0:
                        self.tables[c][s] = w
                    else:
                        self.tables[c].pop(s, None)
                if "retry" in m:
                    self.retry[c] = m["retry"]
            self.out |= set(m.get("out", []))
            self.out -= set(m.get("back", []))
            if "lines" in m or m.get("whole"):
                self.new = False
            if "ticket" in m:
                self.acks += 1
                self.send({"t": "ack", "id": self.number, "seq": m["ticket"],
                           "ms": (time.monotonic() - entered) * 1000})
        self.platform.applied(self, parts)


class Platform:
    def __init__(self, settings, record, seed=1):
        self.settings, self.record = settings, record
        self.rng = random.Random(seed)
        self.classes = [c["name"] for c in settings["classes"]]
        self.zones = settings["localities"]
        self.channel = Channel(settings, self.rng)
        self.proxies = []
        self.ending = False
        self.discovery = Discovery(record)
        self.sums = {}         # (zone, server) -> [count, fail, time]
        self.tasks = []

    def home_only(self, cls):
        flags = self.settings["family_info"].get("home_only") or []
        index = self.classes.index(cls)
        return index < len(flags) and flags[index]

    def zone_of(self, server):
        return self.discovery.servers[server]["zone"]

    def applied(self, proxy, parts):
        pass

    def outcome(self, proxy, server, ok, ms):
        sums = self.sums.setdefault((proxy.zone, server), [0, 0, 0.0])
        sums[0] += 1
        sums[1] += int(not ok)
        sums[2] += ms if ok else 0.0

    def count(self, proxy, cls, ok):
        c = proxy.counts.setdefault(cls, [0, 0])
        c[0] += 1
        c[1] += int(not ok)


def settings(**family):
    """Settings of a small deployment: the example of WIRE-shalereel.md with fewer parts."""
    info = {"admit": "off", "backlog": 4400.0, "by_zone": False, "choice": "lottery", "cost_per_line": 0.02,
            "cycle_ms": 1000.0, "empty_for_ms": 2300.0, "fails_to_eject": 5, "first_wait": 0.8,
            "home_only": [False, False, False], "in_flight_max_ms": 4020.0, "ingest_rate": 250.0, "initial_set": 10,
            "key_ranges": 0, "lines_per_s": 2900.0, "messages_over_ms": 10000.0, "min_conn_cap": 155.0,
            "mutating": [False, True, True], "overhead": 10.0, "proxies": 12, "push_delay_ms": 164.0,
            "reloads_max": 0, "retry_default": 0, "shift_fee": 0.01, "sole_owner": False, "tenure_ms": 2500.0,
            "waits_for_table_ms": 300.0, "warm_keys": True, "worst_transit_ms": 310.0}
    info.update(family)
    return {
        "classes": [
            {"deadline_ms": 3000.0, "effect": "pure", "group": "all", "late_value": 0.1, "name": "box-view",
             "slo_ms": 1200.0, "window_ms": 5000.0, "worth": 1.0},
            {"deadline_ms": 4000.0, "effect": "token", "group": "all", "late_value": 0.2, "name": "box-add",
             "slo_ms": 1200.0, "window_ms": 2500.0, "worth": 2.0},
            {"deadline_ms": 4000.0, "effect": "side_effect", "group": "all", "late_value": 0.2,
             "name": "order-place", "slo_ms": 1200.0, "window_ms": 5000.0, "worth": 5.0}],
        "deductions": {}, "domain_type": "control", "family_info": info, "fleet_size": 1,
        "invariants": {"ask_every_ms": 10000.0, "cold_from": 0.22, "cold_ms": 17000.0, "drain_grace_ms": 2200.0,
                       "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": ["model-a", "model-b", "model-c"], "load_info": {"columns": ["cpu", "active", "avg_ms"],
                                                                  "how": "inline"},
        "localities": ["hal-brondby", "hal-albertslund", "hal-ishoj"], "locality": 0, "me": 0,
        "membership_mode": "pushed",
        "permissions": {"cpu_us_per_s": 400000, "dial_timeout_ms": 300.0, "keepalive_ms": 15000.0, "peers": False,
                        "probes": True, "streams_per_conn": 32},
        "resolution_ms": 5.0, "score_parts": {}, "weights": "nominal", "worth_by": "request"}


def config(platform, listen, memory_mb=192, sockets=1024, cores=0.5, known=True):
    c = {"name": "n0", "listen": listen, "discovery": f"127.0.0.1:{platform.discovery.port}",
         "seed": "8c1f30d27a5be964", "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets},
         "settings": platform.settings}
    if known:
        c["known"] = platform.discovery.known()
    return c


def run(main):
    """Runs a case. What goes wrong with the case itself, and not with a rule, ends it with 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)
