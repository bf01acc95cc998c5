"""CONFIG: a large answer whose connection goes silent is never ended, long past its route's timeout."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support"))
import stand_ins as lab  # noqa: E402

CONTACT_S = 3
TIMEOUT_MS = 4000
DEADLINE_MS = 10000
GRACE_MS = 500  # "At 0.5 s past it".
DOWNLOADS = 12
PACK = bytes(range(256)) * 800  # 204,800 bytes.
PIECE = 20_480
PIECE_GAP_S = 0.05


class PackServer(lab.Server):
    """Sends its answers in pieces. `go_silent` silences the connections that are open then, for good and without a
    reset; new ones work."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.open = set()
        self.silent = set()

    def go_silent(self):
        self.silent |= self.open
        self.record.line(f"{self.instance}: {len(self.open)} open connections go silent")

    async def take(self, request, reader, writer):
        self.open.add(writer)
        request_id = request.header("request-id")
        self.runs.append(request_id)
        self.record.line(f"{self.instance} runs {request_id}")
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: {self.signature(request)}\r\n"
                      f"Content-Length: {len(PACK)}\r\n\r\n").encode())
        for begin in range(0, len(PACK), PIECE):
            if writer in self.silent:
                await asyncio.sleep(100)  # The connection says nothing more.
            writer.write(PACK[begin:begin + PIECE])
            await writer.drain()
            await asyncio.sleep(PIECE_GAP_S)


async def case(record, folder, with_trouble, machines):
    store_port = lab.free_ports(1)[0]
    store = lab.Store()
    await store.start(store_port)
    store.put("op/config", lab.configuration(1, [
        {"name": "pack", "host": "packs.example", "kind": "download", "service": "packs", "timeout_ms": TIMEOUT_MS,
         "target_ms": 1500}]))
    servers = []
    for index, service in enumerate(["front", "packs", "packs"]):
        machine = lab.Machine(record, folder, f"sidecar-{index}", "hall-a", service, store_port)
        server = PackServer(record, f"i-{index}{index}c{index}", service, machine.zone, machine.server, machine.control,
                            lambda *_: 0, slots=32)
        machines.append(machine)
        servers.append(server)
        await server.start()
        machine.start()
    front = machines[0].calls
    for machine in machines:
        await lab.wait_until(machine.is_ready, 20, f"{machine.name} wasn't ready")

    def request(request_id):
        return lab.request_bytes("GET", "packs.example", f"/pack/{request_id}", request_id, DEADLINE_MS)

    async def serves():
        answer = await lab.exchange(front, request("probe"), 5)
        return answer is not None and answer.status == 200
    await lab.wait_until(serves, 20, "no request was answered")
    await asyncio.sleep(CONTACT_S + 0.5)

    ended = {}

    async def download(request_id):
        began = time.monotonic()
        answer = await lab.exchange(front, request(request_id), DEADLINE_MS / 1000)
        if answer is not None:
            ended[request_id] = time.monotonic() - began
        record.line(f"client of {request_id}: " + (f"{answer.status}, {len(answer.body)} bytes, after "
                                                   f"{ended[request_id]:.3f} s" if answer else
                                                   f"no final answer in {time.monotonic() - began:.3f} s"))
    early = [f"early{number}" for number in range(DOWNLOADS)]
    tasks = [asyncio.create_task(download(request_id)) for request_id in early]
    await asyncio.sleep(0.3)
    if with_trouble:
        for server in servers:
            server.go_silent()
    await asyncio.sleep(0.5)
    later = [f"later{number}" for number in range(DOWNLOADS)]
    tasks += [asyncio.create_task(download(request_id)) for request_id in later]
    await asyncio.gather(*tasks)
    latest = (TIMEOUT_MS + GRACE_MS) / 1000
    if any(request_id not in ended for request_id in later):
        raise lab.CouldNotRun("new connections didn't work")
    late = [request_id for request_id in early if ended.get(request_id, 1e9) > latest]
    past_timeout = [request_id for request_id in early if ended.get(request_id, 1e9) > TIMEOUT_MS / 1000]
    record.line(f"{len(late)} of {len(past_timeout)} requests that ran longer than their route's timeout of {TIMEOUT_MS} ms "
                f"have no final answer {GRACE_MS} ms past it")
    return lab.BROKEN if len(late) >= 8 and len(late) * 4 > len(past_timeout) else lab.HELD


lab.main(HERE, case)
