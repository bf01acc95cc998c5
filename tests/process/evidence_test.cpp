/** What a server's bytes may prove: a request that must not run twice is reported as not run only if the
   server has refused this very send of it. */

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "tests/support/raw_client.hpp"
#include "tests/support/scripted_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr std::array<unsigned, 4> promisingStatuses{ 408, 421, 429, 503 };
constexpr int requestsPerCase = 40;
constexpr milliseconds requestPause{ 20 };
/** With this setting, a request that was refused is offered to the same server again. */
constexpr unsigned toleratedZoneLosses = 1;
/** A new process has no share of the extra retries in its first windows. */
constexpr milliseconds retryWarmUp{ 4'000 };

std::string response (const std::string& statusLine, const std::string& fields)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string echoOf (const std::string& id)
{
    return "Request-Id: " + id + "\r\n";
}

std::string refusalOf (const std::string& id)
{
    return response ("503 Service Unavailable", echoOf (id) + "Not-Executed: 1\r\n");
}

std::string successOf (const std::string& id)
{
    return response ("200 OK", echoOf (id) + "Server-Signature: s." + id + "\r\n");
}

/** A fleet whose server may be sent a request again that it refused. */
struct EvidenceFleet : ScriptedFleet
{
    explicit EvidenceFleet (std::uint16_t basePort)
        : ScriptedFleet (
              basePort, configuration_text (1, { "front" }, { "pay" }),
              [] (const std::string& id, unsigned) {
                  return Reaction{ true, successOf (id) };
              },
              toleratedZoneLosses)
    {
        SidecarFleet::pause (retryWarmUp);
    }

    /** Sends requests under this script; returns the number of each status, and checks every promise. */
    std::map<unsigned, int> send (const std::string& name, Script script)
    {
        INFO (name);
        server.script = std::move (script);
        std::map<unsigned, int> statuses;

        for (int n = 0; n < requestsPerCase; ++n)
        {
            const auto id = name + std::to_string (n);
            const auto status = fleet.send (0, { "POST", "pay.example", "/pay/x", id, seconds (1) }).status;
            const bool isPromise = std::find (promisingStatuses.begin(), promisingStatuses.end(), status) !=
                                   promisingStatuses.end();
            CAPTURE (id, status);
            CHECK (server.runs[id] <= 1);
            CHECK ((! isPromise || server.runs[id] == 0));
            ++statuses[status];
            SidecarFleet::pause (requestPause); // Lets the budget for retries grow.
        }

        return statuses;
    }
};

/** A script in which every arrival runs, and gets the same response. */
Script running (std::function<std::string (const std::string& id)> response)
{
    return [response = std::move (response)] (const std::string& id, unsigned) {
        return Reaction{ true, response (id) };
    };
}

} // namespace

TEST_CASE ("only a refusal of this send shows that an order has not run", "[evidence]")
{
    EvidenceFleet evidence (28'900);

    CHECK (evidence.send ("served", running (successOf))[200] == requestsPerCase);
    CHECK (evidence.send ("refused",
                          [] (const std::string& id, unsigned) {
                              return Reaction{ false, refusalOf (id) };
                          })[503] == requestsPerCase);

    // Copies of the refusal of an earlier send.
    evidence.send ("late-copy",
                   [] (const std::string& id, unsigned n)
                   {
                       return n == 1 ? Reaction{ false, refusalOf (id), {}, refusalOf (id) }
                                     : Reaction{ true, successOf (id) };
                   });
    evidence.send ("copy-soon",
                   [] (const std::string& id, unsigned n) {
                       return n == 1 ? Reaction{ false, refusalOf (id), refusalOf (id) }
                                     : Reaction{ true, successOf (id) };
                   });

    // Refusals that belong to no request, or to another one.
    evidence.send ("another", running ([] (const std::string&) { return refusalOf ("another"); }));
    evidence.send ("without-id",
                   running ([] (const std::string&)
                            { return response ("503 Service Unavailable", "Not-Executed: 1\r\n"); }));

    // Responses that break off.
    evidence.send ("cut-refusal",
                   [] (const std::string& id, unsigned)
                   {
                       return Reaction{ true,
                                        "HTTP/1.1 503 Service Unavailable\r\n" + echoOf (id) +
                                            "Not-Executed: 1\r\nContent-Length: 9\r\n\r\ncut",
                                        {},
                                        {},
                                        true };
                   });
    evidence.send ("closed",
                   [] (const std::string&, unsigned) {
                       return Reaction{ true, {}, {}, {}, true };
                   });

    // Statuses that promise, without the server's declaration.
    for (const auto* status : { "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable" })
        evidence.send (std::string (status, 3) + "-undeclared",
                       running ([status] (const std::string& id) { return response (status, echoOf (id)); }));
}

TEST_CASE ("a declaration that the status contradicts does not show that an order has not run", "[evidence]")
{
    EvidenceFleet evidence (28'950);

    for (const auto* status :
         { "103 Early Hints", "200 OK", "302 Found", "500 Internal Server Error", "504 Gateway Timeout" })
        evidence.send (std::string (status, 3) + "-declared",
                       running ([status] (const std::string& id)
                                { return response (status, echoOf (id) + "Not-Executed: 1\r\n"); }));
}

TEST_CASE ("a refusal repeated over another connection does not show that an order has not run",
           "[copy-elsewhere]")
{
    EvidenceFleet evidence (28'500);

    evidence.send ("copy-elsewhere",
                   [] (const std::string& id, unsigned n) {
                       return n == 1 ? Reaction{ false, refusalOf (id) }
                                     : Reaction{ true, refusalOf (id) + successOf (id) };
                   });
}

TEST_CASE ("a hop that its listener rejects tells that it was not sent", "[evidence]")
{
    EvidenceFleet it (27'900);
    const auto calls = it.fleet.machine (0).calls;
    const Endpoint hops{ calls.ip, static_cast<std::uint16_t> (calls.port + 1) };
    const auto response = exchange_raw (hops, { "NONSENSE\r\n\r\n" });
    CAPTURE (response.beginning);
    CHECK (response.begins_with ("HTTP/1.1 400 "));
    CHECK (response.beginning.find ("Anisehold-Hop-Result: outcome=not-sent;error=bad-request") !=
           std::string::npos);
}
