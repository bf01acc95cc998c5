"""LOST: a request that is taken late in a planned stop is cut when the process ends."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support"))
import stand_ins as lab  # noqa: E402

CONTACT_S = 3
GRACE_S = 6
WORK_S = 2.4
TIMEOUT_MS = 4000
DEADLINE_MS = 5000
GAP_S = 0.1


async def case(record, folder, with_trouble, machines):
    store_port = lab.free_ports(1)[0]
    store = lab.Store()
    await store.start(store_port)
    store.put("op/config", lab.configuration(1, [
        {"name": "order", "host": "orders.example", "kind": "unsafe", "service": "orders", "timeout_ms": TIMEOUT_MS}]))
    servers = []
    for index, service in enumerate(["front", "orders", "orders"]):
        machine = lab.Machine(record, folder, f"sidecar-{index}", f"hall-{index}", service, store_port)
        server = lab.Server(record, f"i-{index}{index}c{index}", service, machine.zone, machine.server, machine.control,
                            lambda *_: WORK_S, slots=100)
        machines.append(machine)
        servers.append(server)
        await server.start()
        machine.start()
    front = machines[0]
    for machine in machines:
        await lab.wait_until(machine.is_ready, 20, f"{machine.name} wasn't ready")

    async def serves():
        answer = await lab.exchange(front.calls, lab.request_bytes("POST", "orders.example", "/order/probe", "probe",
                                                                   DEADLINE_MS), 5)
        return answer is not None and answer.status == 200
    await lab.wait_until(serves, 20, "no request was answered")
    await asyncio.sleep(CONTACT_S + 0.5)

    began = time.monotonic()
    results = {}
    misses = 0

    async def ask_readiness():
        """Asks as the platform does. The zone of this machine has no other daemon, so after two misses fewer than half
        of the zone's daemons are in, and the clients are given work all the same."""
        nonlocal misses
        while time.monotonic() - began < 5:
            is_ready = await front.is_ready()
            misses = 0 if is_ready else misses + 1
            record.line(f"{front.name} is asked for its readiness: {'200' if is_ready else f'no 200, miss {misses}'}")
            await asyncio.sleep(1)

    async def client(request_id):
        """Sends one request on a new connection; records when, and how it ended."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", front.calls)
        except OSError:
            record.line(f"{request_id}: no connection")
            return
        try:
            writer.write(lab.request_bytes("POST", "orders.example", f"/order/{request_id}", request_id, DEADLINE_MS, b"x"))
            await writer.drain()
            sent = time.monotonic() - began
            record.line(f"client sends {request_id}, {sent * 1000:.0f} ms after the signal")
            try:
                answer = await asyncio.wait_for(lab.read_message(reader), DEADLINE_MS / 1000)
                status = answer.status if answer else 0
            except (OSError, asyncio.IncompleteReadError):
                status = 0
            except asyncio.TimeoutError:
                status = -1
            results[request_id] = (sent, status, time.monotonic() - began)
            record.line(f"client gets {status or 'the end of the connection'} for {request_id}")
        finally:
            writer.close()

    if with_trouble:
        front.send_signal(signal.SIGTERM)
    asking = asyncio.create_task(ask_readiness())
    clients = []
    while time.monotonic() - began < 5:
        clients.append(asyncio.create_task(client(f"order{len(clients)}")))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(asking, *clients)
    if with_trouble:
        record.line(f"{front.name} ended with status {await front.wait_for_end(8)}")
    lost = 0
    for request_id, (sent, status, ended) in results.items():
        ran = [server.instance for server in servers if request_id in server.runs]
        # What was sent earlier is excused: its server was still at work in the last sixth of the grace time.
        if status == 0 and ran and sent > 3.0 and ended - sent < TIMEOUT_MS / 1000:
            lost += 1
            record.line(f"LOST: {request_id}, sent {sent:.3f} s after SIGTERM, was passed on to {ran[0]}; its connection "
                        f"closed without an answer {ended:.3f} s after SIGTERM, of {GRACE_S} s of grace")
    record.line(f"{sum(status == 200 for _, status, _ in results.values())} of {len(results)} orders were served")
    return lab.BROKEN if lost else lab.HELD


lab.main(HERE, case)
