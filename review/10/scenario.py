"""A rolling deploy where the settings limit the messages to one proxy."""

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
REPLACED = 17  # BRIEF: a rolling deploy replaces up to 95% of the runners, here 94%
AT_A_TIME = 3  # BRIEF: up to 18% of the fleet at a time, here 17%
WITHIN_S = 30.0  # BRIEF: within 21 to 40 s
MESSAGES, SPAN_MS = 6, 10000.0


def new_name(world):
    return f"s-{world.random.getrandbits(32):08x}"


async def tell_in_turn(world, servers, state):
    """Lists a change of each server, one shortly after the other."""
    for server in servers:
        server.state = state
        server.up = state != "Gone"
        world.fleet.add(server)
        world.fleet.change(server)
        await asyncio.sleep(world.random.uniform(0.16, 0.4))


async def replace(world, olds):
    """Replaces servers by new ones under new ids."""
    await tell_in_turn(world, olds, "Terminating")
    await asyncio.sleep(world.random.uniform(2.0, 4.0))
    await tell_in_turn(world, olds, "Gone")
    successors = [Server(new_name(world), old.zone, old.kind) for old in olds]
    for successor in successors:
        successor.started_ms = time.time() * 1000.0
    await asyncio.sleep(world.random.uniform(0.8, 2.4))
    await tell_in_turn(world, successors, "Ready")


async def scenario(world):
    await asyncio.sleep(15.0)
    if TROUBLE:
        olds = list(world.fleet.servers.values())[:REPLACED]
        steps = [olds[first:first + AT_A_TIME] for first in range(0, REPLACED, AT_A_TIME)]
        for step in steps:
            world.tasks.append(asyncio.create_task(replace(world, step)))
            await asyncio.sleep(WITHIN_S / len(steps))
    else:
        await asyncio.sleep(WITHIN_S)
    await asyncio.sleep(10.0)


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
