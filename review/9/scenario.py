"""Servers are replaced one after another where the settings limit the messages to one proxy."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from platform_standin import Proxy, Server, World, base_settings, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["hal-brondby", "hal-albertslund", "hal-ishoj"]
PROXIES, SERVERS = 12, 18
WITHIN_S = 27.0  # BRIEF: a rolling deploy takes 21 to 40 s
MESSAGES, SPAN_MS = 10, 10000.0


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


async def scenario(world):
    await asyncio.sleep(15.0)
    olds = list(world.fleet.servers.values())
    for old in olds:
        if TROUBLE:
            world.tasks.append(asyncio.create_task(replace(world, old)))
        await asyncio.sleep(WITHIN_S / len(olds))
        world.record.write(f"lines at the proxies: {sorted(len(proxy.usable(0)) for proxy in world.proxies)}")
    await asyncio.sleep(20.0)


def main():
    settings = base_settings(ZONES, PROXIES)
    settings["family_info"]["reloads_max"] = MESSAGES
    settings["family_info"]["messages_over_ms"] = SPAN_MS
    world = World(FOLDER, settings, seed=int(os.environ.get("SEED", "1")))
    for index in range(SERVERS):
        world.fleet.add(Server(new_name(world), ZONES[index % len(ZONES)]))
    for number in range(PROXIES):
        world.proxies.append(Proxy(world, number, ZONES[number % len(ZONES)], world.random.uniform(4.0, 18.0)))
    return run_case(FOLDER, world, scenario)


if __name__ == "__main__":
    sys.exit(main())
