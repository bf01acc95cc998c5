"""TWICE: a late surplus answer of a refusal is taken for the answer to the next send of the same request."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support"))
import stand_ins as lab  # noqa: E402

# Three zones of which one may be lost, as in rastro-lima-grown, with one machine each.
SETTINGS = {"bounds.retryBudgetExtra": "103", "faultTolerance.zones": "1"}
ORDER_WORK_S = 0.1
READ_WORK_S = 0.005
WARM_UP_S = 12
ORDERS = 20
ORDER_GAP_S = 0.25
# Orders that follow each other closely use up the budget for retries, so that some are refused.
CLOSE_ORDERS = 60
CLOSE_ORDER_GAP_S = 0.02
# Of every fifth order, the refusals come a second time: less than 6 in 100 of the answers meanwhile, which is twice the
# dose of the site file.
ORDERS_PER_SURPLUS = 5


class RefusingServer(lab.Server):
    """Refuses each order once, and runs it when it comes again: its health is good, and it fails part of its requests. With
    `surplus` it hands out a second answer to some refusals, late: in the place where the next answer of that connection is
    due."""

    surplus = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.answers = self.surplus_answers = 0
        self.refused = set()
        self.late = {}

    async def take(self, request, reader, writer):
        request_id = request.header("request-id")
        self.answers += 1
        if writer in self.late:
            surplus_id, surplus = self.late.pop(writer)
            self.record.line(f"{self.instance} sends a surplus answer to {surplus_id} where that to {request_id} is due")
            writer.write(surplus)
            await writer.drain()
            self.surplus_answers += 1
        if request.start.startswith("POST") and request_id not in self.refused:
            self.refused.add(request_id)
            self.record.line(f"{self.instance} refuses {request_id}: 503 with Not-Executed")
            writer.write(self.refusal(request))
            if self.surplus and int(request_id.removeprefix("order")) % ORDERS_PER_SURPLUS == 0:
                self.late[writer] = (request_id, self.refusal(request))
            await writer.drain()
            return
        await super().take(request, reader, writer)


async def case(record, folder, with_trouble, machines):
    store_port = lab.free_ports(1)[0]
    store = lab.Store()
    await store.start(store_port)
    store.put("op/config", lab.configuration(1, [
        {"name": "order", "host": "delivery.example", "kind": "unsafe", "service": "delivery", "timeout_ms": 3000},
        {"name": "read", "host": "delivery.example", "kind": "safe", "service": "delivery", "timeout_ms": 3000}]))
    servers = []
    for index, service in enumerate(["front", "delivery", "delivery"]):
        machine = lab.Machine(record, folder, f"sidecar-{index}", f"zone-{index}", service, store_port, SETTINGS)
        server = RefusingServer(record, f"i-{index}{index}c{index}", service, machine.zone, machine.server,
                                machine.control,
                                lambda _, request: ORDER_WORK_S if request.start.startswith("POST") else READ_WORK_S)
        machines.append(machine)
        servers.append(server)
        await server.start()
        machine.start()
    front = machines[0].calls
    for machine in machines:
        await lab.wait_until(machine.is_ready, 20, f"{machine.name} wasn't ready")

    async def reads():
        answer = await lab.exchange(front, lab.request_bytes("GET", "delivery.example", "/read/a", f"probe{len(record_ids)}",
                                                             2000), 3)
        record_ids.append(answer)
        return answer is not None and answer.status == 200
    record_ids = []
    await lab.wait_until(reads, 20, "no read was answered")

    # Reads go on all the time, so that the service has usual traffic, and a budget for retries.
    stopping = asyncio.Event()

    async def reader(number):
        count = 0
        while not stopping.is_set():
            count += 1
            request_id = f"read{number}x{count}"
            answer = await lab.exchange(front, lab.request_bytes("GET", "delivery.example", "/read/a", request_id, 2000),
                                        3)
            record.line(f"client sent {request_id} and got {answer.status if answer else 'no answer'}")
            await asyncio.sleep(0.08)
    readers = [asyncio.create_task(reader(number)) for number in range(4)]
    await asyncio.sleep(WARM_UP_S)
    for server in servers:
        server.surplus = with_trouble
        server.answers = 0

    answers = {}
    for number in range(ORDERS + CLOSE_ORDERS):
        request_id = f"order{number}"
        record.line(f"client sends {request_id}")
        answer = await lab.exchange(front, lab.request_bytes("POST", "delivery.example", f"/order/{number}", request_id,
                                                             3000, b"amount=10"), 4)
        answers[request_id] = answer.status if answer else 0
        record.line(f"client gets {answers[request_id] or 'no answer'} for {request_id}")
        await asyncio.sleep(ORDER_GAP_S if number < ORDERS else CLOSE_ORDER_GAP_S)
    await asyncio.sleep(1)
    stopping.set()
    await asyncio.gather(*readers)

    broken = False
    served = 0
    for request_id, status in answers.items():
        runs = sum(server.runs.count(request_id) for server in servers)
        served += status == 200 and int(request_id.removeprefix("order")) < ORDERS
        if runs > 1:
            broken = True
            record.line(f"TWICE: {request_id} ran {runs} times, its client got {status}")
        if runs > 0 and status in (408, 421, 429, 503):
            broken = True
            record.line(f"REFUSED: {request_id} ran {runs} times, its client got {status}")
    surplus = sum(server.surplus_answers for server in servers)
    record.line(f"{surplus} surplus answers to {sum(server.answers for server in servers)} requests at the servers meanwhile")
    record.line(f"{served} of the first {ORDERS} orders were served")
    if not with_trouble and served < ORDERS / 2:
        raise lab.CouldNotRun("fewer than half of the orders were served without the disruption")
    return lab.BROKEN if broken else lab.HELD


lab.main(HERE, case)
