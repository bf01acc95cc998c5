"""Forwarders in front of the addresses at which the sidecars reach one another, which can cut single machines off.

Each machine tells its peers the addresses of its forwarders (`advertise.hops`, `advertise.gossip`). A cut is silent:
what crosses it is dropped, connections stay open, and new ones are accepted but carry nothing.
"""
import asyncio
import os


class Links:
    def __init__(self, fleet):
        self.fleet = fleet
        self.cut_off = set()
        self.flows = []

    async def start(self):
        loop = asyncio.get_running_loop()
        for machine in self.fleet.machines:
            await asyncio.start_server(lambda reader, writer, to=machine: self.forward(to, reader, writer),
                                       machine.ip, machine.port("hops-link"))
            await loop.create_datagram_endpoint(lambda to=machine: Datagrams(self, to),
                                                local_addr=(machine.ip, machine.port("gossip-link")))

    def crosses_cut(self, sender, receiver):
        return sender is not receiver and (sender in self.cut_off or receiver in self.cut_off)

    def cut(self, machine):
        """Partitions the machine from all other machines; it still reaches the store, its server and its clients."""
        self.cut_off.add(machine)

    def heal(self):
        self.cut_off.clear()
        # What was held up is lost.
        for writers in self.flows:
            for writer in writers:
                writer.transport.abort()
        self.flows.clear()

    def machine_at(self, ip):
        return next(machine for machine in self.fleet.machines if machine.ip == ip)

    def sender_of(self, peer):
        """The machine whose process owns the connection from the address `peer`."""
        ip, port = peer
        wanted = "%02X%02X%02X%02X:%04X" % (*reversed([int(part) for part in ip.split(".")]), port)
        with open("/proc/net/tcp", encoding="ascii") as table:
            inodes = {line.split()[9] for line in table if line.split()[1] == wanted}
        for machine in self.fleet.machines:
            folder = "/proc/%d/fd" % machine.process.pid
            for name in os.listdir(folder) if os.path.isdir(folder) else []:
                try:
                    link = os.readlink(os.path.join(folder, name))
                except OSError:
                    continue
                if link.startswith("socket:[") and link[8:-1] in inodes:
                    return machine
        return None

    async def forward(self, receiver, reader, writer):
        sender = self.sender_of(writer.get_extra_info("peername"))
        try:
            to_reader, to_writer = await asyncio.open_connection(receiver.ip, receiver.port("inbound"))
        except OSError:
            writer.transport.abort()
            return
        flow = (writer, to_writer)
        if self.crosses_cut(sender, receiver):
            self.flows.append(flow)
        await asyncio.gather(self.pump(sender, receiver, reader, to_writer, flow),
                             self.pump(sender, receiver, to_reader, writer, flow))

    async def pump(self, sender, receiver, reader, writer, flow):
        try:
            while True:
                data = await reader.read(65536)
                if self.crosses_cut(sender, receiver):
                    if flow not in self.flows:
                        self.flows.append(flow)
                    if not data:
                        return
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            if self.crosses_cut(sender, receiver):
                return
            writer.transport.abort()
            return
        writer.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, links, receiver):
        self.links = links
        self.receiver = receiver

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        if not self.links.crosses_cut(self.links.machine_at(address[0]), self.receiver):
            self.transport.sendto(data, (self.receiver.ip, self.receiver.port("gossip")))
