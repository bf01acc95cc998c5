/** Servers and clients whose bytes never end: the daemons' memory stays bounded, and each exchange ends. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "tests/support/raw_client.hpp"
#include "tests/support/scripted_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr std::size_t frontMachine = 0;
constexpr int numExchanges = 6;
constexpr const char* routeTimeout = "3000ms";
/** Time by which an exchange ends at the latest: the route's timeout, and half a second. */
constexpr milliseconds latestEnd{ 3'500 };
constexpr milliseconds patience{ 6'000 };
/** Time for which a client would go on sending after its rejection. */
constexpr milliseconds floodPatience{ 8'000 };
/** Interval of a client that sends slowly, without ever pausing for long. */
constexpr milliseconds dripInterval{ 100 };
/** Maximum growth of a daemon's memory by a few exchanges with buffers of limited size. */
constexpr long maxGrowthKilobytes = 64 * 1024;
/** Maximum bytes accepted from a client after the response that closes its connection: its largest request,
    which is 1 MiB, and the buffers of the sockets. */
constexpr std::size_t maxUnreadBytes = 16 * 1024 * 1024;
constexpr std::size_t blockBytes = 64 * 1024;

std::string responseHead (const std::string& id, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: " + id + "\r\n" + fields;
}

std::string repeat (const std::string& text, std::size_t bytes)
{
    std::string block;

    while (block.size() < bytes)
        block += text;

    return block;
}

std::string requestHead (const std::string& id, const std::string& fields)
{
    return "POST /pay/x HTTP/1.1\r\nHost: pay.example\r\nConnection: close\r\nDeadline-Milliseconds: 4000\r\n"
           "Request-Id: " +
           id + "\r\n" + fields;
}

/** Watches the memory of both daemons. */
struct EndlessFleet : ScriptedFleet
{
    explicit EndlessFleet (std::uint16_t basePort)
        : ScriptedFleet (basePort, configuration_text (1, { "front" }, { "pay" }, routeTimeout),
                         soundScript()),
          peaks{ peakKilobytes (frontMachine), peakKilobytes (kPayMachine) }
    {
    }

    static Script soundScript()
    {
        return [] (const std::string& id, unsigned) {
            return Reaction{ true, responseHead (id, "Content-Length: 2\r\n\r\nok") };
        };
    }

    /** Makes the server send these bytes after a response's first fields, and `repeated` from then on. */
    void respond (const std::string& bytes, const std::string& repeated)
    {
        server.script = [bytes, repeated] (const std::string& id, unsigned)
        { return Reaction{ true, responseHead (id, bytes), {}, {}, false, repeated }; };
    }

    /** Makes the server send nothing but these bytes. */
    void respondWithout (const std::string& bytes, const std::string& repeated)
    {
        server.script = [bytes, repeated] (const std::string&, unsigned)
        { return Reaction{ true, bytes, {}, {}, false, repeated }; };
    }

    /** Sends these requests at the same time. */
    std::vector<RawResponse> send (const RawRequest& request)
    {
        std::vector<RawResponse> responses;

        for (int n = 0; n < numExchanges; ++n)
            net::EventLoop::spawn (
                [this, &responses, request]
                { responses.push_back (exchange_raw (fleet.machine (entryMachine).calls, request)); });

        REQUIRE (fleet.eventually (request.patience + seconds (2),
                                   [&] { return responses.size() == numExchanges; }));
        return responses;
    }

    std::vector<RawResponse> send()
    {
        return send ({ requestHead ("r" + std::to_string (++numSent), "Content-Length: 0\r\n\r\n"),
                       {},
                       {},
                       patience });
    }

    long peakKilobytes (std::size_t machine)
    {
        std::ifstream status ("/proc/" + std::to_string (fleet.machine (machine).child.id()) + "/status");
        std::string line;

        while (std::getline (status, line))
            if (line.rfind ("VmHWM:", 0) == 0)
                return std::stol (line.substr (line.find (':') + 1));

        return 0;
    }

    /** Checks that both daemons still serve, and that neither of them needed much more memory than before. */
    void checkDaemons()
    {
        for (const auto machine : { frontMachine, kPayMachine })
        {
            const auto growth = peakKilobytes (machine) - peaks[machine];
            CAPTURE (machine, growth);
            CHECK (peaks[machine] > 0);
            CHECK (growth < maxGrowthKilobytes);
        }

        server.script = soundScript();
        CHECK (
            fleet.eventually (seconds (3), [this] { return send().front().begins_with ("HTTP/1.1 200 "); }));
    }

    /** Checks that the client gets a failure, in time. */
    static void checkFailed (const std::vector<RawResponse>& responses)
    {
        for (const auto& it : responses)
        {
            CAPTURE (it.beginning, it.elapsed.count());
            CHECK ((it.begins_with ("HTTP/1.1 502 ") || it.begins_with ("HTTP/1.1 504 ")));
            CHECK (it.closed);
            CHECK (it.elapsed <= latestEnd);
        }
    }

    /** Checks that the response has begun, and ends in time without appearing to be complete. */
    static void checkBrokenOff (const std::vector<RawResponse>& responses)
    {
        for (const auto& it : responses)
        {
            CAPTURE (it.bytes_received, it.elapsed.count());
            CHECK (it.begins_with ("HTTP/1.1 200 "));
            CHECK_FALSE (it.ending.empty());
            CHECK (it.ending.find ("\r\n0\r\n\r\n") == std::string::npos);
            CHECK (it.closed);
            CHECK (it.elapsed <= latestEnd);
        }
    }

    /** Checks that the request is rejected, and that only so many of its bytes are read. */
    static void checkRejected (const std::vector<RawResponse>& responses, const std::string& status)
    {
        for (const auto& it : responses)
        {
            CAPTURE (it.beginning, it.bytes_sent, it.elapsed.count());
            CHECK (it.begins_with ("HTTP/1.1 " + status));
            CHECK (it.closed);
            CHECK (it.bytes_sent < maxUnreadBytes);
        }
    }

    int numSent = 0;
    std::size_t entryMachine = frontMachine; /**< The machine that clients send to. */
    std::vector<long> peaks;                 /**< Peak memory of each daemon at the start, in kilobytes. */
};

const std::string filler (blockBytes, 'x');

/** Checks that a response which falls silent beyond the first blocks of its body is broken off. */
void checkSilentBody (EndlessFleet& it)
{
    const auto announced = 4 * blockBytes;
    it.respond (
        "Content-Length: " + std::to_string (announced) + "\r\n\r\n" + repeat (filler, 2 * blockBytes), {});
    const auto responses = it.send();
    it.checkBrokenOff (responses);

    for (const auto& response : responses)
        CHECK (response.bytes_received < announced);

    it.checkDaemons();
}

} // namespace

TEST_CASE ("a response header without an end becomes a failure", "[endless-bytes]")
{
    EndlessFleet it (26'300);

    it.respond ("X-Long: ", filler);
    it.checkFailed (it.send());
    it.respond ("", repeat ("X-Many: 1\r\n", blockBytes));
    it.checkFailed (it.send());
    it.respondWithout ("HTTP/1.1 200 ", filler);
    it.checkFailed (it.send());
    it.respondWithout ({}, repeat ("HTTP/1.1 103 Early Hints\r\n\r\n", blockBytes));
    it.checkFailed (it.send());
    it.respondWithout ({}, filler);
    it.checkFailed (it.send());
    it.checkDaemons();
}

TEST_CASE ("a response body without an end is broken off at the route's timeout", "[endless-bytes]")
{
    EndlessFleet it (26'400);

    it.respond ("\r\n", filler);
    it.checkBrokenOff (it.send());
    it.respond ("Transfer-Encoding: chunked\r\n\r\n",
                repeat ("100\r\n" + std::string (0x100, 'x') + "\r\n", blockBytes));
    it.checkBrokenOff (it.send());
    it.checkDaemons();
}

TEST_CASE ("a response that falls silent in its body is broken off at the route's timeout", "[endless-bytes]")
{
    EndlessFleet it (26'500);
    checkSilentBody (it);
}

/** Guards against an exchange without an end: the server is on the machine that took the request, so that the
    response isn't read from another daemon, whose read ends in time. */
TEST_CASE ("a response of the machine's own server that falls silent is broken off at the route's timeout",
           "[endless-bytes]")
{
    EndlessFleet it (27'800);
    it.entryMachine = kPayMachine;
    checkSilentBody (it);
}

TEST_CASE ("chunk extensions and trailers of a response are limited in size", "[endless-bytes]")
{
    EndlessFleet it (26'600);

    it.respond ("Transfer-Encoding: chunked\r\n\r\n2;x=", filler);
    it.checkFailed (it.send());
    it.respond ("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: ", filler);
    it.checkFailed (it.send());
    it.respond ("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", repeat ("X-Many: 1\r\n", blockBytes));
    it.checkFailed (it.send());
    it.checkDaemons();
}

TEST_CASE ("a response whose bytes are mostly chunk extensions ends at the route's timeout",
           "[endless-bytes]")
{
    EndlessFleet it (26'700);

    it.respond ("Transfer-Encoding: chunked\r\n\r\n",
                repeat ("1;x=" + std::string (0x1000, 'x') + "\r\nx\r\n", blockBytes));

    for (const auto& response : it.send())
    {
        CAPTURE (response.bytes_received, response.elapsed.count());
        CHECK (response.closed);
        CHECK (response.elapsed <= latestEnd);
    }

    it.checkDaemons();
}

TEST_CASE ("chunk extensions and trailers of a request are limited in size", "[endless-bytes]")
{
    EndlessFleet it (26'800);
    const auto head = requestHead ("endless", "Transfer-Encoding: chunked\r\n\r\n");

    it.checkRejected (it.send ({ head + "2;x=", filler, {}, floodPatience }), "400 ");
    it.checkRejected (it.send ({ head + "2\r\nok\r\n0\r\nX-Long: ", filler, {}, floodPatience }), "400 ");
    it.checkRejected (
        it.send ({ head + "2\r\nok\r\n0\r\n", repeat ("X-Many: 1\r\n", blockBytes), {}, floodPatience }),
        "400 ");
    it.checkDaemons();
}

TEST_CASE ("a rejected request is not read without an end", "[endless-bytes]")
{
    EndlessFleet it (26'900);

    it.checkRejected (it.send ({ requestHead ("endless", "X-Long: "), filler, {}, floodPatience }), "431 ");
    it.checkRejected (it.send ({ "NONSENSE\r\n\r\n", filler, {}, floodPatience }), "400 ");
    it.checkRejected (
        it.send (
            { requestHead ("endless", "Content-Length: 9999999999\r\n\r\n"), filler, {}, floodPatience }),
        "413 ");
    it.checkRejected (it.send ({ "NONSENSE\r\n\r\n", "x", dripInterval, floodPatience }), "400 ");
    it.checkDaemons();
}

TEST_CASE ("bytes after the last request of a connection are not read without an end", "[endless-bytes]")
{
    EndlessFleet it (27'000);

    for (const auto& response :
         it.send ({ requestHead ("last", "Content-Length: 0\r\n\r\n"), filler, {}, floodPatience }))
    {
        CAPTURE (response.beginning, response.bytes_sent, response.elapsed.count());
        CHECK (response.closed);
        CHECK (response.bytes_sent < maxUnreadBytes);
    }

    it.checkDaemons();
}
