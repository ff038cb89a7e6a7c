"""Does a stream whose engine crashed end as complete once the engine is back?"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import (  # noqa: E402
    FRONT,
    HOST,
    KEY,
    Deployment,
    manifest,
    send_manifest,
)
from stream_engine import EVENTS  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
ENGINES, STREAMS = 4, 12
CRASH_AT_S = 1.2
"""Time after the first stream at which one engine of four crashes."""

DOWN_S = 0.3
"""Time for which it is down; `srv_crash` at the site lasts up to 4.5 s."""


def start_engine(deployment: Deployment, number: int) -> subprocess.Popen:
    controls = ",".join(g.control for g in deployment.gateways)
    script = FOLDER.parent / "support-2" / "stream_engine.py"
    return subprocess.Popen(
        [sys.executable, str(script), f"i-7f3a{number:04x}",
         f"{deployment.subnet}.{100 + number}:8080", deployment.gateways[0].zone,
         str(deployment.folder / f"engine-{number}.log"), controls],
    )


async def stream(deployment: Deployment, number: int) -> tuple[str, int, bool]:
    """Send one request; return its id, its last event, and whether it ended whole."""
    request = f"9c41d07be2a3{number:04x}"
    gateway = deployment.gateways[number % len(deployment.gateways)]
    body = b"p" * 400
    fields = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Model": "m",
        "X-Token-Usage": "1460,400",
        "X-Prefix-Hash": f"5c1e07a2:800,91bd{number:04x}:660",
        "X-Deadline-Ms": "12000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
    }
    lines = ["POST /draft/2f HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    last, whole, status = 0, False, 0
    writer = None
    try:
        async with asyncio.timeout(14):
            reader, writer = await asyncio.open_connection(gateway.ip, FRONT)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split()[1])
            if status == 200 and "chunked" in head.lower():
                while size := int((await reader.readline()).strip() or b"x", 16):
                    chunk = await reader.readexactly(size + 2)
                    for line in chunk.split(b"\n"):
                        if line.startswith(b"id: "):
                            last = int(line[4:])
                whole = await reader.readline() == b"\r\n"
    except (OSError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    deployment.record.write(
        f"{request} sent to {gateway.name}: {status}, last event {last} of {EVENTS},"
        f" {'ends as complete' if whole else 'is broken off'}"
    )
    return request, last, whole


async def run(deployment: Deployment, engines: list[subprocess.Popen]) -> int:
    record = deployment.record
    for gateway in deployment.gateways:
        gateway.start(bootstrap=True)
    if not await send_manifest(deployment, manifest(7), 40):
        record.write("no manifest was acknowledged: the case couldn't run")
        return 2
    engines += [start_engine(deployment, n) for n in range(ENGINES)]
    await asyncio.sleep(6)
    streams = [asyncio.create_task(stream(deployment, n)) for n in range(STREAMS)]
    await asyncio.sleep(CRASH_AT_S)
    logs = [deployment.folder / f"engine-{n}.log" for n in range(ENGINES)]
    runs = [log.read_text().count(" runs ") for log in logs]
    if TROUBLE:
        victim = runs.index(max(runs))
        engines[victim].kill()
        engines[victim].wait()
        record.write(f"SIGKILL to engine i-7f3a{victim:04x}, which runs {runs[victim]}")
        await asyncio.sleep(DOWN_S)
        engines[victim] = start_engine(deployment, victim)
        record.write(f"engine i-7f3a{victim:04x} starts again at its address")
    results = await asyncio.gather(*streams)
    for log in logs:
        for line in log.read_text().splitlines():
            record.write(f"  engine's own record: {line}")
    cut = [(request, last) for request, last, whole in results if whole and last < EVENTS]
    whole = sum(1 for _, last, ended in results if ended and last == EVENTS)
    record.write(f"{whole} of {STREAMS} streams whole")
    if cut:
        record.write(f"BROKEN: {len(cut)} streams end as complete too early: {cut}")
        return 1
    if not TROUBLE and whole < STREAMS:
        record.write("streams failed in calm: the case couldn't run")
        return 2
    record.write("HELD: no stream ends as complete before its last event")
    return 0


async def main() -> int:
    deployment = Deployment(FOLDER, with_disk=4)
    engines: list[subprocess.Popen] = []
    try:
        return await run(deployment, engines)
    finally:
        for engine in engines:
            engine.kill()
            engine.wait()
        deployment.close()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:  # The case itself failed.
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
