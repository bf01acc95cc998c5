#include "net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "net/fiber_event.hpp"
#include "net/http_server.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/run_folder.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

std::uint16_t next_port = 22'950;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr const char* kEchoName = "Request-Id";

/// A server that refuses each identified request once, and runs it when it comes again. A second copy of each
/// refusal arrives late: when the next response of its connection is due. Runs on threads of its own, since
/// `net::HttpServer` never sends a surplus response.
class LateCopyServer {
  public:
    explicit LateCopyServer(bool refuses) : refuses_(refuses), acceptor_(io_, address()) {
        std::thread([this] { accept_connections(); }).detach();
    }

    const Endpoint& endpoint() const { return endpoint_; }
    int accepted() {
        const std::lock_guard lock(mutex_);
        return accepted_;
    }
    int runs_of(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }

  private:
    using Tcp = boost::asio::ip::tcp;

    Tcp::endpoint address() const { return {boost::asio::ip::make_address(endpoint_.ip), endpoint_.port}; }

    void accept_connections() {
        for (;;) {
            auto socket = acceptor_.accept();
            {
                const std::lock_guard lock(mutex_);
                ++accepted_;
            }
            std::thread([this, accepted = std::move(socket)]() mutable { serve(accepted); }).detach();
        }
    }

    void serve(Tcp::socket& socket) {
        std::string received;
        std::string late_copy;
        boost::system::error_code error;
        for (;;) {
            const auto size =
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            if (error) {
                return;
            }
            const auto id = id_of(received.substr(0, size));
            received.erase(0, size);
            const bool runs = decide(id);
            const auto response = std::string("HTTP/1.1 ") + (runs ? "200 OK" : "503 Service Unavailable") +
                                  "\r\n" + kEchoName + ": " + id + "\r\nContent-Length: 0\r\n\r\n";
            boost::asio::write(socket, boost::asio::buffer(late_copy + response), error);
            late_copy = runs ? "" : response;
        }
    }

    /// Whether the request runs.
    bool decide(const std::string& id) {
        const std::lock_guard lock(mutex_);
        const bool runs = !refuses_ || ++arrivals_[id] > 1;
        runs_[id] += runs ? 1 : 0;
        return runs;
    }

    static std::string id_of(const std::string& header) {
        const auto name = std::string(kEchoName) + ": ";
        const auto begin = header.find(name) + name.size();
        return header.substr(begin, header.find("\r\n", begin) - begin);
    }

    const Endpoint endpoint_{"127.0.0.1", shifted_port(next_port++)};
    const bool refuses_;
    boost::asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::mutex mutex_;
    int accepted_ = 0;
    std::map<std::string, int> arrivals_;
    std::map<std::string, int> runs_;
};

/// Sends a request with this identifier; returns the status of the response, or 0.
unsigned send_identified(net::HttpClient& client, const std::string& id, net::ExchangeProgress& progress) {
    auto request = net::make_request("POST", "/dues");
    request.fields.set(kEchoName, id);
    net::ExchangeOptions options{TimePoint::clock::now() + seconds(2), nullptr};
    options.expected_echo = net::HeaderField{kEchoName, id};
    std::error_code error;
    progress = {};
    const auto response = client.exchange(request, options, progress, error);
    return response ? response->status : 0;
}

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

// Guards against a fiber that waits for a response without an end, because its last wait, for a condition,
// was ended by a notification.
TEST_CASE("a request times out in a fiber that was notified before", "[path]") {
    auto& server = *new CountingServer(seconds(1));
    net::HttpClient client(Fleet::loop().io(), server.endpoint);
    net::FiberEvent notified;
    net::FiberEvent ended;
    std::error_code error;
    net::EventLoop::spawn([&] {
        notified.wait_until(TimePoint::clock::now() + seconds(10));
        auto request = net::make_request("GET", "/slow");
        net::ExchangeProgress progress;
        client.exchange(request, {TimePoint::clock::now() + milliseconds(100), nullptr}, progress, error);
        ended.set();
    });
    Fleet::pause(milliseconds(50));
    notified.set();
    ended.wait();
    CHECK(error == std::errc::timed_out);
}

// Guards against an order that ran twice: its server refused it, and a late copy of the refusal was taken for
// the response to the repeat, which was sent over the same connection with the same id.
TEST_CASE("a late copy of a refusal is not taken for the response to the repeat", "[path]") {
    // The server's threads outlive the test.
    auto& server = *new LateCopyServer(true);
    net::HttpClient client(Fleet::loop().io(), server.endpoint());
    net::ExchangeProgress progress;
    REQUIRE(send_identified(client, "first", progress) == kUnavailable);
    CHECK(send_identified(client, "first", progress) == kOk);
    CHECK_FALSE(progress.connection_reused);
    CHECK(server.runs_of("first") == 1);
    CHECK(server.accepted() == 2);

    // The other connections remain usable for other requests.
    send_identified(client, "second", progress);
    CHECK(progress.connection_reused);
}

// Guards against a failure without a trace of the response that caused it.
TEST_CASE("a response to an earlier request of the connection is reported", "[path]") {
    auto& server = *new LateCopyServer(true);
    net::HttpClient client(Fleet::loop().io(), server.endpoint());
    net::ExchangeProgress progress;
    REQUIRE(send_identified(client, "first", progress) == kUnavailable);
    CHECK_FALSE(progress.surplus);
    const auto connection = progress.connection;
    REQUIRE(send_identified(client, "second", progress) == 0);
    CHECK(progress.connection == connection);
    REQUIRE(progress.surplus);
    CHECK(progress.surplus->head.fields.find(kEchoName) == std::string_view("first"));
    CHECK(progress.surplus->head.status == kUnavailable);
    CHECK(progress.surplus->is_to_known_request);
    CHECK(send_identified(client, "third", progress) == kUnavailable);
    CHECK(progress.connection != connection);
}

// Guards against a repeat that fails for lack of a connection although the pool holds an idle one.
TEST_CASE("a connection that has carried a request makes room for its repeat", "[path]") {
    auto& server = *new LateCopyServer(true);
    net::HttpPoolLimits limits;
    limits.connections = 1;
    net::HttpClient client(Fleet::loop().io(), server.endpoint(), limits);
    net::ExchangeProgress progress;
    REQUIRE(send_identified(client, "only", progress) == kUnavailable);
    CHECK(send_identified(client, "only", progress) == kOk);
    CHECK(client.open_connections() == 1);
}

// Guards against a payment that takes the late response to another request for its own.
TEST_CASE("an exclusive connection carries one exchange", "[path]") {
    auto& server = *new CountingServer;
    net::HttpClient client(Fleet::loop().io(), server.endpoint);
    const auto is_reused = [&](bool exclusive) {
        auto request = net::make_request("POST", "/dues");
        net::ExchangeOptions options{TimePoint::clock::now() + seconds(2), nullptr};
        options.exclusive_connection = exclusive;
        net::ExchangeProgress progress;
        std::error_code error;
        REQUIRE(client.exchange(request, options, progress, error));
        return progress.connection_reused;
    };
    CHECK_FALSE(is_reused(false));
    CHECK_FALSE(is_reused(true));
    CHECK(client.open_connections() == 1);
    CHECK(is_reused(false));
    CHECK_FALSE(is_reused(true));
}

// Guards against a connection whose record of sent requests grows without bound.
TEST_CASE("a connection is closed after a thousand identified requests", "[path]") {
    auto& server = *new LateCopyServer(false);
    net::HttpClient client(Fleet::loop().io(), server.endpoint());
    net::ExchangeProgress progress;
    constexpr int requests = 1'001;
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        served += send_identified(client, std::to_string(number), progress) == kOk ? 1 : 0;
    }
    CHECK(served == requests);
    CHECK(server.accepted() == 2);
    CHECK(client.open_connections() == 1);
}
