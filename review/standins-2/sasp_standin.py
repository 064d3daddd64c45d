"""Stand-ins for balancers and members that speak SASP (RFC 4678) with `shalereeld`, and starts of the latter.

The registry is the project's own stand-in, `shalereel-standin registry`.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
OPERATION = "box-view"
ZONES = ["hal-brondby", "hal-albertslund", "hal-ishoj"]
QUIESCE = 0x02

DEPLOYMENT = """
listen = "127.0.0.1:0"
registry = "{registry}"
folder = "{folder}"
supervisor = 0
supervisors = 1
locality = "hal-brondby"
localities = ["hal-brondby", "hal-albertslund", "hal-ishoj"]
tick_ms = 5.0

[sasp]
listen = "127.0.0.1:0"

[list]
membership = "pushed"
sizes = "nominal"

[forwarders]
count = {forwarders}
admission = "ignored"
report_cycle_ms = 1000.0
fails_to_avoid = 5
first_wait = 0.8

[channel]
lines_per_s = {lines_per_s}
backlog = {backlog}
message_overhead = 10.0
mean_transit_ms = 164.0
worst_transit_ms = 410.0
paced = true

[rules]
empty_for_ms = 2300.0
drain_grace_ms = 2200.0
cold_from = 0.22
cold_for_ms = 17000.0
tip_multiple = 2.5
tip_after_ms = 2000.0

[[operation]]
name = "box-view"
effect = "idempotent"
latency_objective_ms = 1200.0
integration_timeout_ms = 3000.0
billed_value = 1.0
"""


class CannotRun(Exception):
    """The case could not run; its verdict is neither held nor broken."""


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")


def component(kind, fields):
    return struct.pack(">HH", kind, 4 + len(fields)) + fields


def counted(text):
    return bytes([len(text)]) + text.encode()


def member_data(address):
    host, port = address
    mapped = b"\0" * 10 + b"\xff\xff" + socket.inet_aton(host)
    return component(0x3010, struct.pack(">BH", 6, port) + mapped + counted(""))


def group_data(balancer):
    return component(0x3011, counted(balancer) + counted(OPERATION))


def message(number, body):
    return struct.pack(">HHBII", 0x2010, 13, 1, 13 + len(body), number) + body


def registration(number, balancer, members, by_balancer):
    body = component(0x1010, struct.pack(">BH", 1 if by_balancer else 0, 1))
    body += component(0x4010, struct.pack(">H", len(members))) + group_data(balancer)
    return message(number, body + b"".join(member_data(member) for member in members))


def balancer_state(number, balancer, trusts_members):
    flags = 2 if trusts_members else 0
    return message(number, component(0x1050, counted(balancer) + bytes([0, flags])))


def member_state(number, balancer, address, quiesce):
    body = component(0x1060, struct.pack(">BH", 0, 1))
    body += component(0x4012, struct.pack(">H", 1)) + group_data(balancer)
    return message(number, body + component(0x3013, bytes([0, QUIESCE if quiesce else 0])) + member_data(address))


def weights_request(number, balancer):
    return message(number, component(0x1030, struct.pack(">H", 1)) + group_data(balancer))


async def read_message(reader):
    """Reads a message: the fields of its first component, and weight and quiesce flag by address."""
    head = await reader.readexactly(13)
    body = await reader.readexactly(struct.unpack(">HHBII", head)[3] - 13)
    parts, at = [], 0
    while at < len(body):
        kind, size = struct.unpack(">HH", body[at:at + 4])
        parts.append((kind, body[at + 4:at + size]))
        at += size
    weights, entry = {}, None
    for kind, fields in parts[1:]:
        if kind == 0x3012:
            entry = struct.unpack(">BBH", fields[:4])
        elif kind == 0x3010 and entry:
            port, host = struct.unpack(">H", fields[1:3])[0], socket.inet_ntoa(fields[15:19])
            weights[host, port] = (entry[2], bool(entry[1] & QUIESCE))
            entry = None
    return parts[0][1], weights


class Processes:
    """The registry, and the supervisor that follows its list."""

    def __init__(self, folder, record, entries, **figures):
        self.record, self.figures = record, figures
        self.temporary = tempfile.TemporaryDirectory()
        self.log = open(folder / "supervisor.log", "wb")
        program = str(ROOT / "target/release/shalereel-standin")
        self.registry = subprocess.Popen([program, "registry"], cwd=ROOT, stdin=subprocess.PIPE,
                                         stdout=subprocess.PIPE, stderr=self.log)
        plan = {"trace": self.path("registry.trace"), "address": "127.0.0.1:0", "list": entries}
        self.command(plan)
        self.registry_address = json.loads(self.registry.stdout.readline())["addresses"][0]
        self.sasp_port = None
        self.supervisor = None

    def path(self, name):
        return os.path.join(self.temporary.name, name)

    def command(self, line):
        self.registry.stdin.write(json.dumps(line).encode() + b"\n")
        self.registry.stdin.flush()

    def start_supervisor(self):
        """Starts the supervisor; a later start has the same SASP address as the first."""
        file = self.path("deployment.toml")
        text = DEPLOYMENT.format(registry=self.registry_address, folder=self.path("state"), **self.figures)
        if self.sasp_port is not None:
            text = text.replace('[sasp]\nlisten = "127.0.0.1:0"', f'[sasp]\nlisten = "127.0.0.1:{self.sasp_port}"')
        Path(file).write_text(text)
        self.supervisor = subprocess.Popen([str(ROOT / "target/release/shalereeld"), "--config", file], cwd=ROOT,
                                           stdout=subprocess.PIPE, stderr=self.log)
        line = self.supervisor.stdout.readline()
        if not line:
            raise CannotRun("the supervisor did not start")
        self.sasp_port = int(json.loads(line)["addresses"][1].rsplit(":", 1)[1])
        self.record.write(f"supervisor serves SASP on port {self.sasp_port}")

    def kill_supervisor(self):
        self.supervisor.send_signal(signal.SIGKILL)
        self.supervisor.wait()
        self.record.write("supervisor killed")

    def stop(self):
        for process in (self.supervisor, self.registry):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.log.close()
        self.temporary.cleanup()


class Balancer:
    """A balancer that registers its members and asks for their weights each second; it dials again when needed."""

    def __init__(self, name, processes, members, record, redial_s, trusts_members=False):
        self.name, self.processes, self.members, self.record = name, processes, members, record
        self.redial_s, self.trusts_members = redial_s, trusts_members
        self.weights, self.joined_at, self.writer = {}, None, None

    def usable(self):
        return {address: weight for address, (weight, quiesces) in self.weights.items() if weight > 0 and not quiesces}

    async def run(self):
        try:
            while True:
                try:
                    await self.serve()
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
                self.joined_at = None
                await asyncio.sleep(self.redial_s())
        finally:
            self.abort()

    def abort(self):
        self.joined_at = None
        if self.writer is not None:
            self.writer.transport.abort()

    async def serve(self):
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.processes.sasp_port)

        async def ask(data):
            self.writer.write(data)
            return await asyncio.wait_for(read_message(reader), 5.0)

        await ask(balancer_state(1, self.name, self.trusts_members))
        fields, _ = await ask(registration(2, self.name, self.members, True))
        self.joined_at = time.monotonic()
        self.record.write(f"balancer {self.name} registered {len(self.members)} members, code {fields[0]:#x}")
        number = 2
        while True:
            number += 1
            fields, weights = await ask(weights_request(number, self.name))
            if fields[0] == 0 and weights != self.weights:
                self.weights = weights
                shown = {address[1]: "quiesce" if quiesces else weight for address, (weight, quiesces) in weights.items()}
                self.record.write(f"balancer {self.name} is told {shown}")
            await asyncio.sleep(1.0)


def run_case(folder, scenario):
    """Runs a scenario, which returns the exit code, and reports 2 if it could not run."""
    record = Record(folder / "record.txt")

    async def main():
        try:
            return await asyncio.wait_for(scenario(record), 115.0)
        except Exception as error:  # whatever went wrong with the case itself is no verdict on the rule
            record.write(f"could not run: {error!r}")
            return 2

    code = asyncio.run(main())
    record.write(f"exit code {code}")
    record.file.close()
    return code
