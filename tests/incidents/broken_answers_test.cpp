/** Bytes of a server that are no response in HTTP never reach a client as one.

    A server in trouble responded with the status 000, and its client received
    "HTTP/1.1 000 <unknown-status>" as the response to its request. The parser accepts any three digits, and
    whether a status exists was checked nowhere: a status was only compared with those that mean something to
    a daemon. 000, 099, 600 and 999 were forwarded, as was 101 without a request to switch protocols.
*/
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "hop/hop_header.hpp"
#include "platform/store_client.hpp"
#include "tests/support/raw_client.hpp"
#include "tests/support/run_folder.hpp"
#include "tests/support/scripted_fleet.hpp"

using namespace std::string_literals;

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr int requestsPerKind = 5;
/** Stands for the id of the request in the bytes of a response. */
const std::string idPlaceholder = "{id}";
const std::string ownFields = "Request-Id: {id}\r\nServer-Signature: s.{id}\r\n";

/** Bytes that a server sends in place of a response. */
struct BrokenResponse
{
    std::string name;
    std::string bytes;
};

std::string withId (std::string bytes, const std::string& id)
{
    for (auto at = bytes.find (idPlaceholder); at != std::string::npos; at = bytes.find (idPlaceholder))
        bytes.replace (at, idPlaceholder.size(), id);

    return bytes;
}

std::string withStatusLine (const std::string& statusLine)
{
    return statusLine + "\r\n" + ownFields + "Content-Length: 2\r\n\r\nok";
}

std::string withFieldLine (const std::string& line)
{
    return "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 2\r\n" + line + "\r\n\r\nok";
}

std::string withFraming (const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + ownFields + fields + "\r\n\r\n" + body;
}

std::string withChunks (const std::string& body)
{
    return withFraming ("Transfer-Encoding: chunked", body);
}

const std::vector<BrokenResponse>& unknownStatuses()
{
    static const std::vector<BrokenResponse> responses{
        { "000", withStatusLine ("HTTP/1.1 000 -") },
        { "000-without-reason", withStatusLine ("HTTP/1.1 000 ") },
        { "099", withStatusLine ("HTTP/1.1 099 -") },
        { "600", withStatusLine ("HTTP/1.1 600 -") },
        { "999", withStatusLine ("HTTP/1.1 999 -") },
        { "101",
          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n" + ownFields + "\r\n" },
    };
    return responses;
}

const std::vector<BrokenResponse>& brokenStatusLines()
{
    static const std::vector<BrokenResponse> responses{
        { "two-digits", withStatusLine ("HTTP/1.1 20 OK") },
        { "four-digits", withStatusLine ("HTTP/1.1 2000 OK") },
        { "letter", withStatusLine ("HTTP/1.1 2x0 OK") },
        { "negative", withStatusLine ("HTTP/1.1 -20 OK") },
        { "no-status", withStatusLine ("HTTP/1.1") },
        { "http-2", withStatusLine ("HTTP/2.0 200 OK") },
        { "lower-case", withStatusLine ("http/1.1 200 OK") },
        { "two-blanks", withStatusLine ("HTTP/1.1  200 OK") },
        { "tab", withStatusLine ("HTTP/1.1\t200 OK") },
        { "leading-blank", withStatusLine (" HTTP/1.1 200 OK") },
        { "no-version", withStatusLine ("200 OK") },
        { "reason-with-nul", withStatusLine ("HTTP/1.1 200 O\0K"s) },
        { "reason-with-control", withStatusLine ("HTTP/1.1 200 O\x01K") },
        { "no-http", "\x16\x03\x01 {id} bytes of another protocol\r\n\r\n" },
    };
    return responses;
}

const std::vector<BrokenResponse>& brokenFields()
{
    static const std::vector<BrokenResponse> responses{
        { "name-with-blank", withFieldLine ("X Bad: 1") },
        { "name-with-tab", withFieldLine ("X\tBad: 1") },
        { "name-with-control", withFieldLine ("X\x01"
                                              "Bad: 1") },
        { "name-with-nul", withFieldLine ("X\0Bad: 1"s) },
        { "name-with-del", withFieldLine ("X\x7f"
                                          "Bad: 1") },
        { "name-above-126", withFieldLine ("X\xc3\xa4: 1") },
        { "name-with-separator", withFieldLine ("X(Bad): 1") },
        { "blank-before-colon", withFieldLine ("X-Bad : 1") },
        { "empty-name", withFieldLine (": 1") },
        { "no-colon", withFieldLine ("X-Bad") },
        { "folded-first-line",
          "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n" + ownFields + "Content-Length: 2\r\n\r\nok" },
        { "value-with-control", withFieldLine ("X-Bad: a\x01"
                                               "b") },
        { "value-with-nul", withFieldLine ("X-Bad: a\0b"s) },
        { "value-with-del", withFieldLine ("X-Bad: a\x7f"
                                           "b") },
        { "value-with-bare-cr", withFieldLine ("X-Bad: a\rb") },
    };
    return responses;
}

const std::vector<BrokenResponse>& brokenFraming()
{
    static const std::vector<BrokenResponse> responses{
        { "two-lengths", withFraming ("Content-Length: 2\r\nContent-Length: 3", "ok") },
        { "list-of-lengths", withFraming ("Content-Length: 2, 3", "ok") },
        { "negative-length", withFraming ("Content-Length: -2", "ok") },
        { "signed-length", withFraming ("Content-Length: +2", "ok") },
        { "hexadecimal-length", withFraming ("Content-Length: 0x2", "ok") },
        { "huge-length", withFraming ("Content-Length: 99999999999999999999999", "ok") },
        { "empty-length", withFraming ("Content-Length: ", "ok") },
        { "length-and-chunks",
          withFraming ("Content-Length: 2\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n") },
        { "chunks-and-length",
          withFraming ("Transfer-Encoding: chunked\r\nContent-Length: 2", "2\r\nok\r\n0\r\n\r\n") },
        { "chunk-size-of-letters", withChunks ("zz\r\nok\r\n0\r\n\r\n") },
        { "chunk-size-missing", withChunks ("\r\nok\r\n0\r\n\r\n") },
        { "chunk-size-huge", withChunks ("fffffffffffffffffff\r\nok\r\n0\r\n\r\n") },
        { "chunk-without-end", withChunks ("2\r\nokok0\r\n\r\n") },
        { "trailer-name-with-blank", withChunks ("2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n") },
        { "trailer-without-colon", withChunks ("2\r\nok\r\n0\r\nX-Bad\r\n\r\n") },
    };
    return responses;
}

/** Interim responses, which precede the response to the request. */
const std::vector<BrokenResponse>& interimResponses()
{
    static const std::vector<BrokenResponse> responses{
        { "100", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "102", "HTTP/1.1 102 Processing\r\n" + ownFields + "\r\n" },
        { "103", "HTTP/1.1 103 Early Hints\r\n" + ownFields + "Content-Length: 2\r\n\r\n" },
        { "103-of-another", "HTTP/1.1 103 Early Hints\r\nRequest-Id: another\r\n\r\n" },
        { "103-not-executed", "HTTP/1.1 103 Early Hints\r\n" + ownFields + "Not-Executed: 1\r\n\r\n" },
        { "199-twice", "HTTP/1.1 199 -\r\n\r\nHTTP/1.1 199 -\r\n\r\n" },
    };
    return responses;
}

/** Each request is sent to the scripted server once. */
struct BrokenAnswersFleet : ScriptedFleet
{
    explicit BrokenAnswersFleet (std::uint16_t basePort)
        : ScriptedFleet (basePort, configuration_text (1, { "front" }, { "pay" }), soundScript())
    {
    }

    static Script soundScript()
    {
        return [] (const std::string& id, unsigned) {
            return Reaction{ true, withId (withStatusLine ("HTTP/1.1 200 OK"), id) };
        };
    }

    RawResponse send (const std::string& id)
    {
        return exchange_raw (
            fleet.machine (0).calls,
            { "POST /pay/x HTTP/1.1\r\nHost: pay.example\r\nConnection: close\r\nRequest-Id: " + id +
              "\r\nDeadline-Milliseconds: 1500\r\nContent-Length: 0\r\n\r\n" });
    }

    /** Checks that no client receives these bytes, and that the next request is served. */
    void check (const std::vector<BrokenResponse>& responses)
    {
        for (const auto& it : responses)
        {
            server.script = [&] (const std::string& id, unsigned) {
                return Reaction{ true, withId (it.bytes, id), {}, {}, true };
            };

            for (int n = 0; n < requestsPerKind; ++n)
            {
                const auto id = it.name + "-" + std::to_string (n);
                const auto response = send (id);
                CAPTURE (it.name, response.beginning);
                CHECK (response.begins_with ("HTTP/1.1 502 "));
                CHECK (response.beginning.find ("Server-Signature") == std::string::npos);
                CHECK (server.runs[id] == 1);
            }

            server.script = soundScript();
            CAPTURE (it.name);
            CHECK (send (it.name + "-sound").begins_with ("HTTP/1.1 200 "));
        }
    }
};

} // namespace

TEST_CASE ("a response whose status HTTP does not have is not forwarded", "[broken-answers]")
{
    BrokenAnswersFleet (26'000).check (unknownStatuses());
}

TEST_CASE ("an interim response is not the response to the request", "[broken-answers]")
{
    BrokenAnswersFleet it (26'250);
    std::vector<BrokenResponse> alone;

    for (const auto& interim : interimResponses())
    {
        it.server.script = [&] (const std::string& id, unsigned) {
            return Reaction{ true, withId (interim.bytes + withStatusLine ("HTTP/1.1 200 OK"), id) };
        };

        for (int n = 0; n < requestsPerKind; ++n)
        {
            const auto id = interim.name + "-before-" + std::to_string (n);
            const auto response = it.send (id);
            CAPTURE (interim.name, response.beginning);
            CHECK (response.begins_with ("HTTP/1.1 200 "));
            CHECK (response.beginning.find ("Server-Signature: s." + id) != std::string::npos);
            CHECK (it.server.runs[id] == 1);
        }

        alone.push_back ({ interim.name + "-alone", interim.bytes });
    }

    it.check (alone);
}

TEST_CASE ("a status that HTTP does not have is not believed of a peer", "[broken-answers]")
{
    BrokenAnswersFleet it (27'700);
    hop::HopResult answered;
    answered.outcome = hop::HopOutcome::kAnswered;
    const auto result = std::string (hop::kResultHeader) + ": " + encode (answered) + "\r\n";
    auto& peer = *new ScriptedServer (Fleet::loop().io()); // Its fibers outlive the test.
    peer.script = it.server.script;
    it.links.hops.reset(); // The scripted peer takes its address.
    REQUIRE_FALSE (peer.start (it.fleet.machine (kPayMachine).links.hops_link));

    for (const auto& status : unknownStatuses())
    {
        peer.script = [&] (const std::string& id, unsigned)
        {
            auto bytes = withId (status.bytes, id);
            return Reaction{ true, bytes.insert (bytes.find ("\r\n") + 2, result), {}, {}, true };
        };
        RawResponse response;
        int n = 0;
        // A peer counts as unreachable after such a response, until its next record.
        const auto reachesPeer = [&]
        {
            const auto id = "peer-" + status.name + std::to_string (++n);
            response = it.send (id);
            return peer.runs.contains (id);
        };
        REQUIRE (it.fleet.eventually (seconds (5), reachesPeer));
        CAPTURE (status.name, response.beginning);
        CHECK (response.begins_with ("HTTP/1.1 502 "));
    }
}

TEST_CASE ("a status that HTTP does not have does not show that the store has rejected a write",
           "[broken-answers]")
{
    auto& server = *new ScriptedServer (Fleet::loop().io());
    const Endpoint address{ "127.0.0.1", shifted_port (26'090) };
    REQUIRE_FALSE (server.start (address));
    platform::StoreClient client (Fleet::loop().io(), address);

    for (const auto& it : unknownStatuses())
    {
        server.script = [&] (const std::string&, unsigned) { return Reaction{ true, it.bytes }; };
        const auto reply =
            client.write ({ { "anisehold/key", "value", 0 } }, TimePoint::clock::now() + seconds (1));
        CAPTURE (it.name);
        CHECK (reply.outcome == store::CallOutcome::kUnknown);
    }
}

TEST_CASE ("bytes that are no response header are not forwarded", "[broken-answers]")
{
    BrokenAnswersFleet it (26'100);
    it.check (brokenStatusLines());
    it.check (brokenFields());
}

TEST_CASE ("a response whose body has no clear end is not forwarded", "[broken-answers]")
{
    BrokenAnswersFleet (26'200).check (brokenFraming());
}

/** Guards against a response that breaks off in its header or body, and reaches the client as a whole one
   with an empty or a short body. */
TEST_CASE ("a response that breaks off is not forwarded, after whichever byte", "[broken-answers]")
{
    BrokenAnswersFleet it (26'150);
    const std::vector<BrokenResponse> whole{
        { "length", withStatusLine ("HTTP/1.1 200 OK") },
        { "chunks", withChunks ("2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n") },
        { "interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + withStatusLine ("HTTP/1.1 200 OK") },
    };

    for (const auto& response : whole)
    {
        // All ids have the same length.
        constexpr std::size_t firstNumber = 1'000;
        const auto size = withId (response.bytes, response.name + std::to_string (firstNumber)).size();

        for (std::size_t n = 0; n < size; ++n)
        {
            const auto id = response.name + std::to_string (firstNumber + n);
            it.server.script = [&] (const std::string& requestId, unsigned) {
                return Reaction{ true, withId (response.bytes, requestId).substr (0, n), {}, {}, true };
            };
            const auto received = it.send (id);
            CAPTURE (id, received.beginning);
            CHECK (received.begins_with ("HTTP/1.1 502 "));
            CHECK (it.server.runs[id] == 1);
        }
    }
}
