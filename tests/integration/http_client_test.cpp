#include "net/http_client.hpp"

#include <catch2/catch.hpp>

#include "net/http_server.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

std::uint16_t next_port = 22'950;
constexpr unsigned kOk = 200;

/// A server that counts its requests and answers each after a time.
struct CountingServer {
    explicit CountingServer(milliseconds answers_after = milliseconds(0))
        : server(Fleet::loop().io(), {},
                 {[this, answers_after](net::HttpRequest&, net::CancelSignal&) {
                      ++received;
                      Fleet::pause(answers_after);
                      return net::make_response(kOk, "text/plain", "");
                  },
                  [](ErrorKind) { return net::make_response(kOk, "text/plain", ""); }}) {
        REQUIRE_FALSE(server.start(endpoint));
    }

    Endpoint endpoint{"127.0.0.1", shifted_port(next_port++)};
    int received = 0;
    net::HttpServer server;
};

}  // namespace

// A daemon that was frozen past the deadline of a payment sent it on when it ran again, to a second server,
// too: the time was looked at while an answer was waited for, not before a request was written. Seen as
// "started" at two servers after the thaw, and "cancelled" at the second right after it.
TEST_CASE("a request whose time is up isn't sent, and the connection stays usable", "[path]") {
    // Its fibers outlast the test.
    auto& server = *new CountingServer;
    net::HttpClient client(Fleet::loop().io(), server.endpoint);
    auto request = net::make_request("POST", "/dues");
    net::ExchangeProgress progress;
    std::error_code error;
    const auto in = [](milliseconds time) {
        return net::ExchangeOptions{TimePoint::clock::now() + time, nullptr};
    };
    REQUIRE(client.exchange(request, in(seconds(2)), progress, error));
    REQUIRE(server.received == 1);

    progress = {};
    CHECK_FALSE(client.exchange(request, in(milliseconds(-1)), progress, error));
    CHECK(error == std::errc::timed_out);
    CHECK(progress.connected);
    CHECK_FALSE(progress.request_started);
    Fleet::pause(milliseconds(100));
    CHECK(server.received == 1);

    progress = {};
    CHECK(client.exchange(request, in(seconds(2)), progress, error));
    CHECK(progress.connection_reused);
    CHECK(server.received == 2);
}

// Beast's time-out was handed on as it was, which compares equal to no std::errc: a sidecar took a peer at
// which a request ran out of time for one that can't be reached, and looked whether the server beside it had
// crashed.
TEST_CASE("a request that runs out of time under way says so", "[path]") {
    auto& server = *new CountingServer(seconds(1));
    net::HttpClient client(Fleet::loop().io(), server.endpoint);
    auto request = net::make_request("GET", "/slow");
    net::ExchangeProgress progress;
    std::error_code error;
    CHECK_FALSE(
        client.exchange(request, {TimePoint::clock::now() + milliseconds(100), nullptr}, progress, error));
    CHECK(progress.request_started);
    CHECK(error == std::errc::timed_out);
}
