/** Entries of other writers, in the store and among the heartbeats, that are valid in form and odd in
   content: they end no daemon, and hide no server. */

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/store_client.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr int numRequests = 40;
/** A server without heartbeats counts as gone after 1.2 s. */
constexpr milliseconds heartbeatLoss{ 1'500 };
constexpr seconds settleTime{ 5 };
/** Largest size of an odd text; a daemon reads no more than 64 KiB of a heartbeat. */
constexpr std::size_t oddBytes = 60'000;

/** Returns a text that is nested as deeply as its size allows. */
std::string nested (const std::string& open, const std::string& close)
{
    const auto depth = oddBytes / (open.size() + close.size());
    std::string text;

    for (std::size_t n = 0; n < depth; ++n)
        text += open;

    for (std::size_t n = 0; n < depth; ++n)
        text += close;

    return text;
}

struct OddHeartbeat
{
    std::string name;
    std::string body;
    unsigned status; /**< Expected response of the daemon. */
};

std::string heartbeat (const std::string& address, const std::string& service, const std::string& slots,
                       const std::string& sequence, const std::string& more = {})
{
    return "{" + more + R"("address":")" + address + R"(","information":{"service":")" + service +
           R"(","zone":"z1","slots":)" + slots + R"(},"status":{"state":"ready","sequence":)" + sequence +
           "}}";
}

std::vector<OddHeartbeat> oddHeartbeats()
{
    const std::string address = "127.0.0.1:1";
    const std::string digits (400, '9');

    return {
        { "nested-arrays", nested ("[", "]"), statusBadRequest },
        { "nested-objects", R"({"information":)" + nested (R"({"a":)", "}") + "}", statusBadRequest },
        { "unclosed", std::string (oddBytes, '['), statusBadRequest },
        { "nested-beside", heartbeat (address, "back", "1", "1", R"("x":)" + nested ("[", "]") + ","),
          statusOk },
        { "slots-of-400-digits", heartbeat (address, "back", digits, "1"), statusBadRequest },
        { "sequence-of-400-digits", heartbeat (address, "back", "1", digits), statusBadRequest },
        { "slots-of-1e400", heartbeat (address, "back", "1e400", "1"), statusBadRequest },
        { "slots-negative", heartbeat (address, "back", "-1", "1"), statusBadRequest },
        { "slots-fraction", heartbeat (address, "back", "1.5", "1"), statusBadRequest },
        { "slots-nan", heartbeat (address, "back", "NaN", "1"), statusBadRequest },
        { "slots-null", heartbeat (address, "back", "null", "1"), statusBadRequest },
        { "slots-max", heartbeat (address, "back", "9223372036854775807", "1"), statusOk },
        { "slots-none", heartbeat (address, "back", "0", "1"), statusOk },
        { "sequence-max", heartbeat (address, "back", "1", "18446744073709551615"), statusOk },
        { "born-max", heartbeat (address, "back", "1", "1", R"("born":18446744073709551615,)"), statusOk },
        { "born-negative", heartbeat (address, "back", "1", "1", R"("born":-1,)"), statusBadRequest },
        { "port-70000", heartbeat ("127.0.0.1:70000", "back", "1", "1"), statusBadRequest },
        { "port-negative", heartbeat ("127.0.0.1:-1", "back", "1", "1"), statusBadRequest },
        { "port-nan", heartbeat ("127.0.0.1:NaN", "back", "1", "1"), statusBadRequest },
        { "port-none", heartbeat ("127.0.0.1:0", "back", "1", "1"), statusBadRequest },
        { "address-number", R"({"address":1,"information":{},"status":{}})", statusBadRequest },
        { "address-out-of-range", heartbeat ("127.0.0.256:1", "back", "1", "1"), statusBadRequest },
        { "service-empty", heartbeat (address, "", "1", "1"), statusBadRequest },
        { "service-of-60000-bytes", heartbeat (address, std::string (oddBytes, 's'), "1", "1"),
          statusBadRequest },
        { "service-not-utf8", heartbeat (address, "\xff\xfe", "1", "1"), statusBadRequest },
    };
}

/** Two machines of "front" and two of "back", in two zones. */
struct OddEntriesFleet
{
    explicit OddEntriesFleet (std::uint16_t basePort)
        : fleet (basePort,
                 { { "z1", "front", {} }, { "z2", "front", {} }, { "z1", "back", {} }, { "z2", "back", {} } })
    {
        REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    }

    /** Number of requests to "back" that are served, of `numRequests` sent to each machine of "front". */
    int numServed()
    {
        int served = 0;

        for (int n = 0; n < 2 * numRequests; ++n)
        {
            const auto id = "r" + std::to_string (++numSent);
            const auto machine = static_cast<std::size_t> (n % 2);
            served +=
                fleet.send (machine, { "GET", "back.example", "/back/x", id }).status == statusOk ? 1 : 0;
        }

        return served;
    }

    /** Checks that all daemons run, and that the server of each machine of "back" gets requests. */
    void checkAllServe()
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
            CHECK (fleet.is_running (n));

        const auto before = arrivals();
        CHECK (numServed() == 2 * numRequests);
        const auto after = arrivals();
        CHECK (after.first > before.first);
        CHECK (after.second > before.second);
    }

    std::pair<std::size_t, std::size_t> arrivals()
    {
        return { fleet.machine (2).server->arrivals(), fleet.machine (3).server->arrivals() };
    }

    SidecarFleet fleet;
    int numSent = 0;
};

} // namespace

TEST_CASE ("odd entries in the store end no daemon and hide no other", "[odd-entries]")
{
    OddEntriesFleet it (27'300);
    auto& store = it.fleet.store();
    const std::vector<std::string> values{ "",
                                           "127.0.0.1:70000",
                                           "127.0.0.1:-1",
                                           "127.0.0.1:0",
                                           "127.0.0.1:NaN",
                                           "256.0.0.1:1",
                                           "[::1]:1",
                                           std::string ("\0\xff\x01", 3),
                                           std::string (400, '9'),
                                           std::string (oddBytes, 'x'),
                                           nested ("[", "]"),
                                           nested (R"({"a":)", "}"),
                                           "3 -9223372036854775808 1",
                                           "4294967295 9223372036854775807 18446744073709551615" };

    for (std::size_t n = 0; n < values.size(); ++n)
    {
        const auto index = std::to_string (n);
        store.put ("anisehold/members/0-odd-" + index, values[n]);
        store.put ("anisehold/members/" + std::string (150, 'x') + index, values[n]);
        store.put ("anisehold/verdicts/odd-" + index, values[n]);
        store.put ("anisehold/verdicts/" + std::string (30, '0') + (n < 10 ? "0" : "") + index, values[n]);
        store.put ("anisehold/other/" + index, values[n]);
    }

    store.put ("anisehold/members/", "127.0.0.1:1");

    // Daemons that start now learn of their peers only by the listing.
    for (const std::size_t n : { 0, 3 })
    {
        it.fleet.kill (n);
        it.fleet.start_sidecar (n);
    }

    REQUIRE (
        it.fleet.eventually (settleTime, [&] { return it.fleet.is_ready (0) && it.fleet.is_ready (3); }));
    it.fleet.configure (configuration_text (2, { "front", "back" }, {}));

    for (std::size_t n = 0; n < it.fleet.size(); ++n)
        CHECK (it.fleet.eventually (
            settleTime, [&] { return it.fleet.log_of (n).find (R"("version":"2")") != std::string::npos; }));

    CHECK (it.fleet.eventually (settleTime, [&] { return it.numServed() == 2 * numRequests; }));
    it.checkAllServe();
}

TEST_CASE ("odd heartbeats end no daemon and hide no server", "[odd-entries]")
{
    OddEntriesFleet it (27'400);

    for (std::size_t machine = 0; machine < it.fleet.size(); ++machine)
        for (const auto& odd : oddHeartbeats())
        {
            CAPTURE (odd.name, machine);
            CHECK (it.fleet.machine (machine).server->write_entry ("odd-" + odd.name, odd.body) ==
                   odd.status);
        }

    // Other servers at the same addresses have displaced nothing; those that were accepted are silent from
    // now on.
    SidecarFleet::pause (heartbeatLoss);
    it.checkAllServe();
}

/** Guards against a record that doesn't fit into a datagram, so that peers hear nothing of the machine any
 * more. */
TEST_CASE ("a machine with heartbeats of long names stays reachable", "[odd-entries]")
{
    OddEntriesFleet it (27'500);
    auto& server = *it.fleet.machine (2).server;
    const std::string longName (oddBytes, 'x');

    for (int n = 0; n < 5; ++n)
    {
        const auto sequence = std::to_string (n);
        CHECK (server.write_entry ("odd", heartbeat ("127.0.0.1:1", longName, "1", sequence)) ==
               statusBadRequest);
        CHECK (server.write_entry (longName, heartbeat ("127.0.0.1:2", "back", "1", sequence)) ==
               statusBadRequest);
        SidecarFleet::pause (milliseconds (500));
        it.checkAllServe();
    }
}

/** Guards against a daemon that ends because a field of the store's response has another type. */
TEST_CASE ("fields of other types in a response of the store end no daemon and hide no item", "[odd-entries]")
{
    auto& server = *new ScriptedServer (Fleet::loop().io()); // Its fibers outlive the test.
    const Endpoint address{ "127.0.0.1", shifted_port (27'290) };
    REQUIRE_FALSE (server.start (address));
    platform::StoreClient client (Fleet::loop().io(), address);
    const auto deadline = [] { return TimePoint::clock::now() + seconds (1); };
    const auto respond = [&] (const std::string& status, const std::string& body)
    {
        server.script = [=] (const std::string&, unsigned)
        {
            return Reaction{ true, "HTTP/1.1 " + status + "\r\nContent-Length: " +
                                       std::to_string (body.size()) + "\r\n\r\n" + body };
        };
    };

    for (const std::string at : { R"("x")", "null", "[]", "{}", "true" })
    {
        CAPTURE (at);
        respond ("404 Not Found", R"({"at":)" + at + "}");
        CHECK (client.read ("key", store::ReadMode::kLatest, deadline()).outcome ==
               store::CallOutcome::kUnknown);
    }

    respond ("404 Not Found", R"({"at":7})");
    const auto missing = client.read ("key", store::ReadMode::kLatest, deadline());
    CHECK (missing.outcome == store::CallOutcome::kNotFound);
    CHECK (missing.store_revision == 7);

    const std::string rest = R"(,{"privateKey":"k","value":"","revision":1}],"more":false,"at":7})";

    for (const std::string odd :
         { R"({"gone":1})", R"({"gone":"x"})", "7", "null", "[]", R"({"privateKey":1})" })
    {
        CAPTURE (odd);
        std::string body = R"({"items":[)";
        respond ("200 OK", body.append (odd).append (rest));
        const auto listed = client.list ("", "", store::ReadMode::kLatest, deadline());
        CHECK (listed.outcome == store::CallOutcome::kDone);
        CHECK (listed.items.size() == 1);
        CHECK (listed.unreadable == 1);
    }
}
