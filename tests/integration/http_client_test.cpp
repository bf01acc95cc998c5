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

/// A server that counts its requests and responds to each after a delay.
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

// Guards against sending a request after its deadline: a daemon that was paused past the deadline of a
// payment sent the payment after it resumed, also to a second server, because it checked the time only while
// waiting for a response and not before writing a request. The logs showed "started" at two servers after the
// pause, and "cancelled" at the second one directly after that.
TEST_CASE("a request past its deadline is not sent, and the connection stays usable", "[path]") {
    // The server's fibers outlive the test.
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

// Guards against an unmapped Beast time-out, which compares equal to no std::errc: a sidecar treated a peer
// at which a request timed out as unreachable, and checked whether its local server had crashed.
TEST_CASE("a request that times out in flight reports a time-out", "[path]") {
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
