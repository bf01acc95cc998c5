#include "net/http_client.hpp"

#include <catch2/catch.hpp>

#include "net/http_server.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

constexpr std::uint16_t kPort = 22'950;
constexpr unsigned kOk = 200;

/// A server that counts its requests.
struct CountingServer {
    CountingServer()
        : server(Fleet::loop().io(), {},
                 {[this](net::HttpRequest&, net::CancelSignal&) {
                      ++received;
                      return net::make_response(kOk, "text/plain", "");
                  },
                  [](ErrorKind) { return net::make_response(kOk, "text/plain", ""); }}) {
        REQUIRE_FALSE(server.start(endpoint));
    }

    Endpoint endpoint{"127.0.0.1", shifted_port(kPort)};
    int received = 0;
    net::HttpServer server;
};

}  // namespace

// A daemon that was frozen past the deadline of a payment sent it on when it ran again, to a second server,
// too: the time was looked at while an answer was waited for, not before a request was written. Seen as
// "started" at a server 9 ms after the call's deadline, and "cancelled" right after it.
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
