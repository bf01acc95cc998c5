/** Crowds of clients that send what no well-behaved client sends, or more of it than a daemon can hold. The
    daemons' machines are small: each process lives, stays within the memory and the descriptors of its
    machine, and answers an ordinary request afterwards. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <vector>

#include "tests/support/client_crowd.hpp"
#include "tests/support/scripted_fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr std::size_t frontMachine = 0;
constexpr unsigned statusOk = 200;
constexpr const char* routeTimeout = "10000ms";
/** Memory of each machine. */
constexpr unsigned machineMegabytes = 64;
constexpr std::size_t machineBytes = machineMegabytes * 1024UL * 1024UL;
/** Descriptors of each machine, where they are few. */
constexpr unsigned machineDescriptors = 200;
/** Descriptors that callers may occupy at most: a daemon keeps a quarter for its own connections. */
constexpr std::size_t maxOpenDescriptors = machineDescriptors * 3 / 4;
constexpr std::size_t maxHeaderBytes = 16 * 1024;
constexpr std::size_t maxInternalHeaderBytes = 64 * 1024;
/** Size of bodies that a daemon reads whole before it sends the request on. */
constexpr std::size_t wholeBodyBytes = 64'000;
constexpr std::size_t blockBytes = 64 * 1024;
constexpr int numPipelined = 8;
constexpr seconds answerTimeout{ 30 };
constexpr milliseconds sampleInterval{ 20 };

std::string repeat (const std::string& text, std::size_t bytes)
{
    std::string block;

    while (block.size() + text.size() <= bytes)
        block += text;

    return block;
}

std::string requestLine (const std::string& method, const std::string& target)
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: crowd\r\nDeadline-Milliseconds: 8000\r\n";
}

/** Returns the head of a request that is filled up to the limit with fields of four bytes. */
std::string tinyFields (const std::string& beginning, std::size_t limit)
{
    constexpr std::size_t endBytes = 4;
    return beginning + repeat ("a:\r\n", limit - beginning.size() - endBytes);
}

std::string pipelined (const std::string& request)
{
    return repeat (request, request.size() * numPipelined);
}

/** The two largest figures that were seen of one process, from outside it. */
struct ProcessPeak
{
    /** Resident memory, and bytes that have arrived for its clients' port and aren't read yet. */
    std::size_t bytes = 0;
    std::size_t descriptors = 0;
};

std::size_t statusBytes (int process, const std::string& name)
{
    std::ifstream status ("/proc/" + std::to_string (process) + "/status");
    std::string line;

    while (std::getline (status, line))
        if (line.rfind (name + ":", 0) == 0)
            return std::stoul (line.substr (line.find (':') + 1)) * 1024;

    return 0;
}

std::size_t openDescriptors (int process)
{
    std::error_code gone;
    std::filesystem::directory_iterator entries ("/proc/" + std::to_string (process) + "/fd", gone);
    std::size_t count = 0;

    for (const auto end = std::filesystem::directory_iterator(); ! gone && entries != end;
         entries.increment (gone))
        ++count;

    return count;
}

/** Returns the bytes that wait in the sockets of connections to this port. */
std::size_t unreadBytes (std::uint16_t port)
{
    constexpr const char* listening = "0A";
    std::ifstream table ("/proc/net/tcp");
    std::string line;
    std::size_t unread = 0;

    while (std::getline (table, line))
    {
        std::istringstream columns (line);
        std::string number, local, remote, state, queues;
        columns >> number >> local >> remote >> state >> queues;
        const auto localPort = local.substr (local.find (':') + 1);

        if (state != listening && localPort.size() == 4 && std::stoul (localPort, nullptr, 16) == port)
            unread += std::stoul (queues.substr (queues.find (':') + 1), nullptr, 16);
    }

    return unread;
}

void recordPeak (ProcessPeak& peak, SidecarMachine& machine)
{
    const auto process = machine.child.id();
    const auto resident = statusBytes (process, "VmRSS") + unreadBytes (machine.calls.port);
    peak.bytes = std::max ({ peak.bytes, resident, statusBytes (process, "VmHWM") });
    peak.descriptors = std::max (peak.descriptors, openDescriptors (process));
}

std::vector<SidecarMachinePlan> smallMachines (unsigned descriptors = 0)
{
    SidecarMachinePlan front{ "z1", "front", {}, 16, milliseconds (5) };
    SidecarMachinePlan pay{ "z1", "pay", {}, 16, milliseconds (5) };

    for (auto* plan : { &front, &pay })
    {
        plan->memory_megabytes = machineMegabytes;
        plan->descriptors = descriptors;
    }

    return { front, pay };
}

std::string safeRoutes()
{
    return configuration_text (1, { "front", "pay" }, {}, routeTimeout);
}

/** Sends crowds to a fleet of two machines, and watches both daemons meanwhile. */
struct WatchedFleet
{
    explicit WatchedFleet (SidecarFleet& fleetToWatch)
        : fleet (fleetToWatch),
          peaks (fleet.size())
    {
    }

    /** Sends a crowd to an address, and calls `beside` once after half of its time, or when it has left. */
    template <typename Beside>
    CrowdResult send (const Endpoint& to, const CrowdPlan& plan, Beside beside)
    {
        auto crowd = std::async (std::launch::async, [&] { return run_crowd (to, plan); });
        const auto half = TimePoint::clock::now() + plan.duration / 2;
        bool isBeside = false;

        while (crowd.wait_for (milliseconds (0)) != std::future_status::ready)
        {
            sample();
            SidecarFleet::pause (sampleInterval);

            if (! isBeside && TimePoint::clock::now() >= half)
            {
                isBeside = true;
                beside();
            }
        }

        if (! isBeside)
            beside();

        sample();
        const auto result = crowd.get();
        CHECK (result.opened > 0);
        return result;
    }

    CrowdResult send (const Endpoint& to, const CrowdPlan& plan)
    {
        return send (to, plan, [] {});
    }

    CrowdResult send (const CrowdPlan& plan) { return send (fleet.machine (frontMachine).calls, plan); }

    void sample()
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
            recordPeak (peaks[n], fleet.machine (n));
    }

    unsigned sendOrdinary (milliseconds timeLeft = milliseconds (10'000))
    {
        ClientRequest request{ "GET", "pay.example", "/pay/x", "ordinary-" + std::to_string (++numOrdinary) };
        request.time_left = timeLeft;
        return fleet.send (frontMachine, request).status;
    }

    /** Checks that both daemons live, and stayed within the memory of their machines. */
    void checkProcesses()
    {
        sample();

        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            CAPTURE (n, peaks[n].bytes, peaks[n].descriptors);
            CHECK (fleet.is_running (n));
            CHECK (peaks[n].bytes > 0);
            CHECK (peaks[n].bytes < machineBytes);
        }
    }

    void checkDaemons()
    {
        CHECK (fleet.eventually (answerTimeout, [this] { return sendOrdinary() == statusOk; }));
        checkProcesses();
    }

    SidecarFleet& fleet;
    std::vector<ProcessPeak> peaks;
    int numOrdinary = 0;
};

struct CrowdedFleet : SidecarFleet, WatchedFleet
{
    explicit CrowdedFleet (std::uint16_t basePort, unsigned descriptors = 0)
        : SidecarFleet (basePort, smallMachines (descriptors)),
          WatchedFleet (static_cast<SidecarFleet&> (*this))
    {
        REQUIRE (SidecarFleet::start (safeRoutes()));
    }

    using WatchedFleet::send;
};

std::string chunkedHead()
{
    return requestLine ("POST", "/pay/x") + "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string filler (blockBytes, 'x');

CrowdPlan endless (const std::string& bytes, const std::string& repeated)
{
    return { .connections = 50, .bytes = bytes, .repeated = repeated, .duration = milliseconds (1'000) };
}

} // namespace

TEST_CASE ("clients whose trailers never end", "[crowd-endless]")
{
    CrowdedFleet it (28'200);
    it.send (endless (chunkedHead() + "2\r\nok\r\n0\r\n", repeat ("X-Many: 1\r\n", blockBytes)));
    it.send (endless (chunkedHead() + "2\r\nok\r\n0\r\nX-Long: ", filler));
    it.send (endless (chunkedHead() + "0\r\n", repeat ("a:\r\n", blockBytes)));
    it.checkDaemons();
}

TEST_CASE ("clients whose heads never end", "[crowd-endless]")
{
    CrowdedFleet it (28'720);
    const auto head = requestLine ("GET", "/pay/x");
    it.send (endless ({}, filler));
    it.send (endless ("GET /", filler));
    it.send (endless (head, filler));
    it.send (endless (head + "X-Long: ", filler));
    it.send (endless (head, repeat ("X-Many: 1\r\n", blockBytes)));
    it.send (endless (head, repeat ("a:\r\n", blockBytes)));
    it.send (endless (head + "X-Folded: 1\r\n", repeat (" x\r\n", blockBytes)));
    it.checkDaemons();
}

TEST_CASE ("clients that send empty lines without an end", "[crowd-endless]")
{
    CrowdedFleet it (28'760);
    it.send (endless ({}, repeat ("\r\n", blockBytes)));
    it.send (endless ({}, repeat ("\n", blockBytes)));
    it.send (endless (requestLine ("GET", "/pay/x") + "\r\n", repeat ("\r\n", blockBytes)));
    it.send (endless ({}, repeat (" ", blockBytes)));
    it.checkDaemons();
}

TEST_CASE ("clients whose bodies never end", "[crowd-endless]")
{
    CrowdedFleet it (28'800);
    it.send (endless (chunkedHead() + "2;x=", filler));
    it.send (endless (chunkedHead(), std::string (blockBytes, '0')));
    it.send (endless (chunkedHead(), repeat ("1\r\nx\r\n", blockBytes)));
    it.send (endless (requestLine ("POST", "/pay/x") + "Content-Length: 1000000\r\n\r\n", filler));
    it.checkDaemons();
}

TEST_CASE ("clients that send many requests ahead, with heads of many tiny fields", "[crowd-heads]")
{
    CrowdedFleet it (28'240);
    const auto request = tinyFields (requestLine ("GET", "/pay/work-300"), maxHeaderBytes) + "\r\n";
    it.send ({ .connections = 100, .bytes = pipelined (request) });
    it.checkDaemons();
}

TEST_CASE ("clients that don't finish their heads of many tiny fields", "[crowd-half-heads]")
{
    CrowdedFleet it (28'280);
    it.send ({ .connections = 300, .bytes = tinyFields (requestLine ("GET", "/pay/x"), maxHeaderBytes) });
    it.checkDaemons();
}

TEST_CASE ("clients that send many requests ahead, with bodies", "[crowd-bodies]")
{
    CrowdedFleet it (28'320);
    const auto request = requestLine ("POST", "/pay/work-300") +
                         "Content-Length: " + std::to_string (wholeBodyBytes) + "\r\n\r\n" +
                         std::string (wholeBodyBytes, 'x');
    it.send ({ .connections = 100, .bytes = pipelined (request) });
    it.checkDaemons();
}

TEST_CASE ("clients that send requests without waiting for responses", "[crowd-unread-requests]")
{
    CrowdedFleet it (28'360);
    const auto request = requestLine ("GET", "/pay/work-300") + "\r\n";
    it.send ({ .connections = 100, .repeated = repeat (request, blockBytes) });
    it.checkDaemons();
}

TEST_CASE ("many clients that send requests without waiting for responses", "[crowd-unread-bytes]")
{
    CrowdedFleet it (28'880);
    const auto request = requestLine ("GET", "/pay/work-300") + "\r\n";
    it.send ({ .connections = 400, .repeated = repeat (request, blockBytes) });
    it.checkDaemons();
}

TEST_CASE ("clients that don't read their responses", "[crowd-unread-responses]")
{
    constexpr std::size_t responseBytes = 256 * 1024;
    const Script script = [] (const std::string& id, unsigned)
    {
        return Reaction{ true, "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: " + id +
                                   "\r\nContent-Length: " + std::to_string (responseBytes) + "\r\n\r\n" +
                                   std::string (responseBytes, 'x') };
    };
    ScriptedFleet scripted (28'400, safeRoutes(), script, 0, machineMegabytes);
    WatchedFleet it (scripted.fleet);
    const auto request = requestLine ("GET", "/pay/x") + "\r\n";
    it.send ({ .connections = 200, .bytes = pipelined (request), .reads = false });
    it.checkDaemons();
}

TEST_CASE ("an ordinary request beside clients that don't read their responses", "[crowd-stalled]")
{
    constexpr std::size_t responseBytes = 4 * 1024 * 1024;
    const Script script = [] (const std::string& id, unsigned)
    {
        const auto size = id == "crowd" ? responseBytes : 2;
        return Reaction{ true, "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: " + id +
                                   "\r\nContent-Length: " + std::to_string (size) + "\r\n\r\n" +
                                   std::string (size, 'x') };
    };
    ScriptedFleet scripted (28'920, safeRoutes(), script, 0, machineMegabytes);
    WatchedFleet it (scripted.fleet);
    const auto request = requestLine ("GET", "/pay/x") + "\r\n";
    unsigned status = 0;
    it.send (it.fleet.machine (frontMachine).calls,
             { .connections = 200,
               .bytes = pipelined (request),
               .reads = false,
               .rounds = 1,
               .duration = milliseconds (30'000) },
             [&] { status = it.sendOrdinary(); });
    CHECK (status == statusOk);
    it.checkDaemons();
}

TEST_CASE ("an ordinary request beside clients that fall silent in their uploads", "[crowd-slow-uploads]")
{
    CrowdedFleet it (28'960);
    const auto head = "POST /pay/x HTTP/1.1\r\nHost: pay.example\r\nRequest-Id: crowd\r\n"
                      "Deadline-Milliseconds: 1000\r\nContent-Length: 200000\r\n\r\n";
    unsigned status = 0;
    it.send (it.machine (frontMachine).calls,
             { .connections = 100,
               .bytes = head + std::string (100'000, 'x'),
               .rounds = 1,
               .duration = milliseconds (10'000) },
             [&] { status = it.sendOrdinary(); });
    CHECK (status == statusOk);
    it.checkDaemons();
}

TEST_CASE ("clients of the ports for peers, the server, and operators", "[crowd-ports]")
{
    CrowdedFleet it (28'440);
    const auto head = tinyFields (requestLine ("GET", "/pay/x"), maxInternalHeaderBytes);
    const auto calls = it.machine (frontMachine).calls;

    for (const std::uint16_t offset : { 1, 2, 3, 5 })
    {
        const auto port = static_cast<std::uint16_t> (calls.port + offset);
        it.send ({ calls.ip, port }, { .connections = 300, .bytes = head, .duration = milliseconds (1'500) });
    }

    it.checkDaemons();
}

TEST_CASE ("more idle clients than descriptors", "[crowd-descriptors]")
{
    CrowdedFleet it (28'600, machineDescriptors);
    const CrowdPlan idle{ .connections = 400, .duration = milliseconds (8'000) };
    const CrowdPlan halfHeads{ .connections = 400,
                               .bytes = requestLine ("GET", "/pay/x"),
                               .duration = milliseconds (8'000) };

    for (const auto& plan : { idle, halfHeads })
    {
        unsigned status = 0;
        it.send (it.machine (frontMachine).calls, plan,
                 [&] { status = it.sendOrdinary (milliseconds (1'000)); });
        CHECK (status == statusOk);
    }

    it.checkDaemons();
    CHECK (it.peaks[frontMachine].descriptors <= maxOpenDescriptors);
}

TEST_CASE ("clients that name many fields as those of one connection", "[crowd-tokens]")
{
    constexpr std::size_t tokenBytes = 8'000;
    CrowdedFleet it (28'640);
    const auto tokens = requestLine ("GET", "/pay/x") + "Connection: " + repeat ("a,", tokenBytes) + "a\r\n";
    const auto request = tokens + repeat ("other:1\r\n", maxHeaderBytes - tokens.size() - 4) + "\r\n";
    it.send ({ .connections = 100, .bytes = pipelined (request) });
    CHECK (it.sendOrdinary() == statusOk);
    it.checkProcesses();
}

TEST_CASE ("a client that closes its connection in the middle of a body", "[crowd-uploads]")
{
    CrowdedFleet it (28'680);
    const auto head = requestLine ("POST", "/pay/x") + "Content-Length: 200000\r\n\r\n";
    it.send ({ .connections = 1, .bytes = head + std::string (100'000, 'x'), .aborts = true, .rounds = 5 });
    CHECK (it.sendOrdinary() == statusOk);
    it.checkProcesses();
}

TEST_CASE ("a client that sends trailers without an end behind a long body", "[crowd-uploads]")
{
    CrowdedFleet it (28'840);
    const auto chunk = "10000\r\n" + std::string (0x10000, 'x') + "\r\n";
    const auto trailers = "0\r\n" + repeat ("X-Many: 1\r\n", blockBytes);
    it.send ({ .connections = 1, .bytes = chunkedHead() + chunk + chunk + trailers, .rounds = 5 });
    CHECK (it.sendOrdinary() == statusOk);
    it.checkProcesses();
}
