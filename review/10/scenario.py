"""The servers of one cell fail quickly, where a class keeps to the proxy's zone."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from platform_standin import Proxy, Server, World, base_settings, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["hal-brondby", "hal-albertslund", "hal-ishoj"]
SERVERS_PER_ZONE = [6, 6, 3]
BAD_ZONE = 2  # its 3 servers are one cell: 20% of the 15, BRIEF: up to 20% of the runners
FAIL_SHARE = 0.85  # BRIEF: fail 43 to 85% of their invocations
BAD_S = 24.0  # BRIEF: for 6.6 to 29 s
PROXIES = 12


async def scenario(world):
    await asyncio.sleep(15.0)
    bad = [server for server in world.fleet.servers.values() if server.zone == ZONES[BAD_ZONE]]
    if TROUBLE:
        for server in bad:
            server.fail_share = FAIL_SHARE
        world.record.write(f"{[server.name for server in bad]} fail {FAIL_SHARE:.0%} of their requests")
    await asyncio.sleep(BAD_S)
    for server in bad:
        server.fail_share = 0.0
    await asyncio.sleep(5.0)


def main():
    settings = base_settings(ZONES, PROXIES)
    settings["family_info"]["home_only"] = [False, False, True]
    world = World(FOLDER, settings, seed=int(os.environ.get("SEED", "1")))
    for zone, count in enumerate(SERVERS_PER_ZONE):
        for _ in range(count):
            world.fleet.add(Server(f"s-{world.random.getrandbits(32):08x}", ZONES[zone], cell=zone))
    for number in range(PROXIES):
        world.proxies.append(Proxy(world, number, ZONES[number % len(ZONES)], world.random.uniform(8.0, 14.0)))
    return run_case(FOLDER, world, scenario)


if __name__ == "__main__":
    sys.exit(main())
