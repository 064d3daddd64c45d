"""One of two supervisors is restarted as planned, so that all proxies come to the other; servers are replaced."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from platform_standin import Proxy, Server, World, base_settings, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["hal-brondby", "hal-albertslund", "hal-ishoj"]
PROXIES, SERVERS = 150, 30  # DAYS: two supervisors steer 150 proxies and 30 servers
REQUESTS_PER_S = 130.0
LINES_PER_S, BACKLOG = 3600.0, 5400.0  # BRIEF: 2,700 to 3,600 lines a second, and at least what it sends in 1.5 s
RESTART_S = 3.0
REPLACED_WITHIN_S = 40.0  # BRIEF: a rolling deploy replaces up to 95% of the runners within 21 to 40 s
WATCHED_S = 12.0


def new_name(world):
    return f"s-{world.random.getrandbits(32):08x}"


async def replace(world, old):
    """Replaces a server by a new one under a new id."""
    old.state = "Terminating"
    world.fleet.change(old)
    await asyncio.sleep(world.random.uniform(2.0, 4.0))
    old.state, old.up = "Gone", False
    world.fleet.change(old)
    successor = Server(new_name(world), old.zone, old.kind)
    successor.started_ms = time.time() * 1000.0
    await asyncio.sleep(world.random.uniform(0.8, 2.4))
    world.fleet.add(successor)
    world.fleet.change(successor)


async def restart(world, supervisor):
    """A planned restart: SIGTERM, and a new start under the same name and address."""
    world.record.write(f"{supervisor.name} gets SIGTERM")
    known = {"version": world.fleet.version, "full": True, "servers": list(supervisor.known.values())}
    os.kill(supervisor.process.pid, signal.SIGTERM)
    supervisor.leaving = True
    await asyncio.sleep(0.7)
    supervisor.kill()
    await asyncio.sleep(RESTART_S - 0.7)
    supervisor.start(known)
    await supervisor.wait_ready()


async def scenario(world):
    await asyncio.sleep(8.0)
    if TROUBLE:
        await restart(world, world.supervisors[1])
    else:
        await asyncio.sleep(RESTART_S)
    await asyncio.sleep(4.0)
    olds = list(world.fleet.servers.values())
    for old in olds:
        world.tasks.append(asyncio.create_task(replace(world, old)))
        await asyncio.sleep(REPLACED_WITHIN_S / len(olds))
    for _ in range(int(WATCHED_S)):
        await asyncio.sleep(1.0)
        sizes = sorted(len(proxy.usable(0)) for proxy in world.proxies)
        world.record.write(f"lines at the proxies: {sizes[0]} at least, {sizes[-1]} at most")


def main():
    settings = base_settings(ZONES, PROXIES)
    settings["fleet_size"] = 2
    settings["family_info"]["lines_per_s"], settings["family_info"]["backlog"] = LINES_PER_S, BACKLOG
    world = World(FOLDER, settings, seed=int(os.environ.get("SEED", "1")))
    for index in range(SERVERS):
        world.fleet.add(Server(new_name(world), ZONES[index % len(ZONES)]))
    for number in range(PROXIES):
        proxy = Proxy(world, number, ZONES[number % len(ZONES)], REQUESTS_PER_S / PROXIES)
        proxy.supervisor = world.supervisors[number % 2]
        world.proxies.append(proxy)
    return run_case(FOLDER, world, scenario)


if __name__ == "__main__":
    sys.exit(main())
