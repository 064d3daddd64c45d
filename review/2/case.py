"""A rolling deploy at a site that limits messages; the supervisor dies once and comes back. Are drains kept (rule 3)?"""
import asyncio, json, os, shutil, sys, tempfile, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from plat import Platform, Proxy, Record, Supervisor, config, free_port, run, settings

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS, PROXIES, RATE = 30, 36, 200.0
LIMIT, OVER = 30, 10.0                       # at most 30 messages to one proxy in 10 s
DEPLOY_AT, BATCH, EVERY, DRAINS_FOR, ADDED_AFTER, STEPS = 15.0, 2, 4.5, 4.0, 1.0, 8
DIES_AT, AWAY, LENGTH = 22.0, 4.0, 60.0


class Day(Platform):
    def __init__(self, *args):
        super().__init__(*args)
        self.told, self.broken, self.worst, self.sent = {}, {}, {}, {}
        self.messages = {}                   # proxy -> when its messages came
        self.most_messages = 0
        self.lost = self.served = 0
        self.gone = set()

    def change(self, entries):
        at = self.discovery.change(entries)
        for e in entries:
            if e["state"] != "Ready":
                self.told.setdefault(e["id"], at)

    def applied(self, proxy, parts):
        now = time.monotonic()
        times = self.messages.setdefault(proxy.number, [])
        times.append(now)
        while times[0] < now - OVER:
            times.pop(0)
        self.most_messages = max(self.most_messages, len(times))

    async def requests(self, proxy):
        while not self.ending:
            await asyncio.sleep(self.rng.expovariate(proxy.rps))
            asyncio.ensure_future(self.request(proxy, self.rng.choices(self.classes, [0.53, 0.38, 0.09])[0]))

    async def request(self, proxy, cls):
        now = time.monotonic()
        usable = {s: w for s, w in proxy.candidates(cls).items() if proxy.avoid.get(s, 0) <= now}
        if not usable:
            return self.count(proxy, cls, False)
        server = self.rng.choices(list(usable), list(usable.values()))[0]
        self.sends(proxy, server, now)
        ok = server not in self.gone
        ms = self.rng.uniform(150, 300) if ok else 20
        await asyncio.sleep(ms / 1000)
        self.served += ok
        self.lost += not ok
        self.outcome(proxy, server, ok, ms)
        self.count(proxy, cls, ok)
        proxy.in_row[server] = 0 if ok else proxy.in_row.get(server, 0) + 1
        if proxy.in_row[server] >= self.settings["family_info"]["fails_to_eject"]:
            proxy.in_row[server] = 0
            proxy.avoid[server] = time.monotonic() + self.rng.uniform(2.8, 7.6)

    def sends(self, proxy, server, now):
        """Rule 3: nothing is sent later than the grace, and 300 ms on sockets, after the supervisor was told."""
        if server not in self.told or proxy.joined_at is None:
            return
        since = max(self.told[server], proxy.joined_at, self.alive_at + 1.0)
        limit = (self.settings["invariants"]["drain_grace_ms"] + 300) / 1000
        self.worst[server] = max(self.worst.get(server, 0), now - since)
        if now - since > limit:
            self.broken[server] = self.broken.get(server, 0) + 1
            if self.broken[server] <= 3:
                state = self.discovery.servers[server]["state"]
                self.record(f"RULE 3 BROKEN: proxy {proxy.number} sends to {server}, {now - since:.2f} s after the supervisor was "
                            f"told that it drains (limit {limit:.1f} s); it is listed as {state}")

    async def collector(self, zone, supervisor):
        """Reports on the zone's proxies each second, 200 to 1,600 ms late."""
        writer = None
        cycle = self.settings["family_info"]["cycle_ms"]
        while not self.ending:
            await asyncio.sleep(cycle / 1000)
            try:
                if writer is None or writer.is_closing():
                    reader, writer = await asyncio.open_connection(*supervisor.address)
                    writer.write((json.dumps({"t": "agent", "site": zone}) + "\n").encode())
                if reader.at_eof():
                    writer.close()
                    continue
            except OSError:
                continue
            out = []
            for (z, server), (n, bad, ms) in list(self.sums.items()):
                if z == zone:
                    del self.sums[z, server]
                    out.append({"t": "outcomes", "site": z, "target": server, "count": n, "fail": bad,
                                "mean": ms / (n - bad) if n > bad else 0.0, "over": cycle})
            for proxy in self.proxies:
                if proxy.zone == zone:
                    out += [{"t": "demand", "id": proxy.number, "lane": cls, "count": n, "fail": bad, "over": cycle}
                            for cls, (n, bad) in proxy.counts.items()]
                    proxy.counts = {}
            data = "".join(json.dumps(m) + "\n" for m in out).encode()
            asyncio.get_running_loop().call_later(self.rng.uniform(0.2, 1.2), writer.write, data)

    async def deploy(self, old):
        """Replaces the servers two at a time: listed as terminating, 4 s later gone, and a successor comes."""
        for step in range(STEPS):
            batch = [self.discovery.servers[s] for s in old[step * BATCH:(step + 1) * BATCH]]
            self.change([dict(e, state="Terminating") for e in batch])
            asyncio.ensure_future(self.replace(batch, step))
            await asyncio.sleep(EVERY)

    async def replace(self, batch, step):
        await asyncio.sleep(DRAINS_FOR)
        self.gone |= {e["id"] for e in batch}
        self.change([dict(e, state="Gone") for e in batch])
        await asyncio.sleep(ADDED_AFTER)
        self.change([dict(e, id=f"t-{step:02x}{i:02x}", state="Ready", started_ms=(time.time() - ADDED_AFTER) * 1000)
                     for i, e in enumerate(batch)])


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    s = settings(proxies=PROXIES, reloads_max=LIMIT, messages_over_ms=OVER * 1000)
    day = Day(s, record)
    day.discovery.servers = {
        f"s-{i:02x}": {"id": f"s-{i:02x}", "addr": "127.0.0.1:9", "zone": s["localities"][i % 3], "kind": s["kinds"][i % 3],
                       "cell": i % 5, "state": "Ready", "weight": 1.0, "started_ms": 0} for i in range(SERVERS)}
    record(f"settings: {json.dumps(s)}")
    await day.discovery.start()
    supervisor = Supervisor(folder, config(day, f"127.0.0.1:{free_port()}"), record)
    try:
        supervisor.start()
        if not await supervisor.wait_alive():
            record("the supervisor did not start")
            return 2
        began = day.alive_at = time.monotonic()
        for i in range(PROXIES):
            zone = s["localities"][i % 3]
            table = {n: 1.0 for n, e in day.discovery.servers.items() if e["zone"] == zone}
            day.proxies.append(Proxy(day, i, zone, RATE / PROXIES, table))
        tasks = [asyncio.ensure_future(p.run(supervisor)) for p in day.proxies]
        tasks += [asyncio.ensure_future(day.requests(p)) for p in day.proxies]
        tasks += [asyncio.ensure_future(day.collector(z, supervisor)) for z in s["localities"]]
        await asyncio.sleep(DEPLOY_AT)
        if not all(p.acks for p in day.proxies):
            record("a proxy was never sent a message: the case could not run")
            return 2
        record(f"a rolling deploy replaces {BATCH * STEPS} of {SERVERS} servers, {BATCH} at a time")
        tasks.append(asyncio.ensure_future(day.deploy(list(day.discovery.servers))))
        if TROUBLE:
            await asyncio.sleep(max(0, began + DIES_AT - time.monotonic()))
            supervisor.config["known"] = day.discovery.known()
            supervisor.stop()
            record("the supervisor is killed")
            await asyncio.sleep(AWAY)
            supervisor.start()
            if not await supervisor.wait_alive():
                record("the supervisor did not start again")
                return 1
            day.alive_at = time.monotonic()
        await asyncio.sleep(max(0, began + LENGTH - time.monotonic()))
        if supervisor.exited() is not None:
            record(f"the supervisor has ended: {supervisor.exited()}")
            return 1
        day.ending = True
        for server, span in sorted(day.worst.items()):
            record(f"{server}: last request {span:.2f} s after the supervisor was told; {day.broken.get(server, 0)} beyond the limit")
        record(f"requests served {day.served}, sent to servers that were gone {day.lost}")
        record(f"most messages to one proxy within {OVER:.0f} s: {day.most_messages} of {LIMIT}; most lines waiting: "
               f"{day.channel.most:.0f} of {day.channel.capacity:.0f}")
        record(f"verdict: {'rule 3 broken for %d servers' % len(day.broken) if day.broken else 'rule 3 held'}")
        for t in tasks:
            t.cancel()
        return 1 if day.broken else 0
    finally:
        supervisor.stop()
        with open(supervisor.log.name) as f:
            record.file.write("supervisor's log:\n" + f.read())
        record.file.flush()
        shutil.rmtree(folder, ignore_errors=True)


run(main)
