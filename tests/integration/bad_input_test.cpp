#include <catch2/catch.hpp>

#include "net/frame_transport.hpp"
#include "net/http_client.hpp"
#include "protocol/call_context.hpp"
#include "tests/integration/raw_socket.hpp"
#include "tests/support/fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

FleetOptions bad_input_fleet() {
    FleetOptions options;
    options.base_port = 23'200;
    options.daemon_flags = {"--limits-header-bytes=4096", "--limits-body-bytes=100000",
                            "--limits-header-timeout-ms=500", "--limits-body-timeout-ms=500"};
    return options;
}

std::optional<net::HttpResponse> send(const Endpoint& daemon, net::HttpRequest& request) {
    net::HttpClient client(Fleet::loop().io(), daemon);
    net::ExchangeProgress progress;
    std::error_code error;
    return client.exchange(request, {TimePoint::clock::now() + seconds(5), nullptr}, progress, error);
}

std::string error_of(const std::optional<net::HttpResponse>& response) {
    return response ? std::string(response->fields.find(header::kError).value_or("none")) : "no answer";
}

net::HttpRequest standing_check() {
    auto request = net::make_request("GET", "/standing/1");
    request.fields.set("Host", "registry");
    request.fields.set("Lab-Request", "x");
    return request;
}

std::optional<net::HttpResponse> send_standing_check(const Endpoint& daemon) {
    auto request = standing_check();
    return send(daemon, request);
}

}  // namespace

TEST_CASE("bad input of every kind gets a clear error, and the daemon continues to serve", "[bad-input]") {
    Fleet fleet(bad_input_fleet());
    REQUIRE(fleet.start());
    const auto& daemon = fleet.daemons().front();

    SECTION("HTTP") {
        CHECK(raw_exchange(daemon.call, "NONSENSE\r\n\r\n").find("HTTP/1.1 400") == 0);
        CHECK(raw_exchange(daemon.call,
                           "GET / HTTP/1.1\r\nHost: registry\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n")
                  .find("HTTP/1.1 431") == 0);
        CHECK(raw_exchange(daemon.call, "POST / HTTP/1.1\r\nHost: registry\r\nContent-Length: 200000\r\n\r\n")
                  .find("HTTP/1.1 413") == 0);
        CHECK(raw_exchange(daemon.call, "POST / HTTP/1.1\r\nHost: registry\r\nContent-Length: 10\r\n\r\nabc",
                           true)
                  .find("abc") == std::string::npos);
        CHECK(raw_exchange(daemon.call, "GET / HTTP/1.1\r\nHost:", true).find("HTTP/1.1 408") == 0);
        auto unknown = standing_check();
        unknown.fields.set("Host", "nobody");
        CHECK(error_of(send(daemon.call, unknown)) == "unknown-service");
        auto keyless = net::make_request("POST", "/bookings/1");
        keyless.fields.set("Host", "bookings");
        CHECK(error_of(send(daemon.call, keyless)) == "key-required");
    }

    SECTION("forged and replayed contexts start a new root request, or are refused") {
        auto forged = standing_check();
        forged.fields.set(header::kContext, "0123456789abcdef0123456789abcdef;0123456789abcdef;x;0;9;0;0;00");
        CHECK(send(daemon.call, forged)->status == 200);
        CallContext ended;
        ended.root_id = "0123456789abcdef0123456789abcdef";
        ended.call_id = "0123456789abcdef";
        ended.home = daemon.name;
        auto replayed = standing_check();
        replayed.fields.set(header::kContext, encode_call_context(ended, "lab-mesh-key-0123456789"));
        CHECK(error_of(send(daemon.call, replayed)) == "home-unreachable");
        auto gate = standing_check();
        gate.fields.set(header::kGate, "127.0.0.1:1,0;00");
        CHECK(error_of(send(daemon.call, gate)) == "bad-request");
    }

    SECTION("peer frames") {
        CHECK(raw_exchange(daemon.peer, std::string("\x00\x00\x00\x04", 4) + "abcd").empty());
        CHECK(raw_exchange(daemon.peer, "\xff\xff\xff\xff").empty());
        send_datagram(daemon.peer, "garbage");
        send_datagram(daemon.peer, "");
        CHECK(fleet.eventually(seconds(3), [&] {
            net::HttpClient client(Fleet::loop().io(), daemon.admin);
            auto request = net::make_request("GET", "/events");
            std::error_code error;
            const auto events = net::fetch_text(client, request, TimePoint::clock::now() + seconds(1), error);
            return events && events->find("peer-frame-refused") != std::string::npos;
        }));
    }

    SECTION("a bad table in the store leaves the old table in force") {
        const auto before = fleet.get(daemon.admin, "/status")->at("table_revision");
        fleet.post(fleet.store(), "/v3/kv/put",
                   {{"key", "L2FuaXNlaG9sZC90YWJsZQ=="}, {"value", "bm9uc2Vuc2U="}});
        CHECK(fleet.eventually(seconds(3), [&] {
            net::HttpClient client(Fleet::loop().io(), daemon.admin);
            auto request = net::make_request("GET", "/events");
            std::error_code error;
            const auto events = net::fetch_text(client, request, TimePoint::clock::now() + seconds(1), error);
            return events && events->find("table-rejected") != std::string::npos;
        }));
        CHECK(fleet.get(daemon.admin, "/status")->at("table_revision") == before);
        CHECK(fleet.run_table({"set", "book.weight=0"}).status != 0);
    }

    SECTION("a malformed machine list leaves the old list in use") {
        fleet.post(fleet.machines(), "/lab/list", nlohmann::json::array({3}));
        Fleet::pause(milliseconds(1'000));
        CHECK(fleet.get(daemon.admin, "/status")->at("servers").size() == fleet.backends().size());
    }

    CHECK(send_standing_check(daemon.call)->status == 200);
}

TEST_CASE("without store and peers, calls get a clear refusal", "[bad-input]") {
    FleetOptions options;
    options.base_port = 23'300;
    Fleet fleet(options);
    const Endpoint call{"127.0.0.1", 23'390};
    fleet.start_program("alone", "anisehold",
                        {"serve", "--daemon-id=alone", "--daemon-zone=z", "--daemon-listen=" + call.text(),
                         "--daemon-peer=127.0.0.1:23391", "--daemon-admin=127.0.0.1:23392",
                         "--daemon-mesh-key=0123456789abcdef", "--platform-stores=127.0.0.1:1",
                         "--platform-machine-list=127.0.0.1:1"});
    CHECK(fleet.eventually(seconds(5), [&] { return error_of(send_standing_check(call)) == "no-table"; }));
    const auto response = send_standing_check(call);
    CHECK(response->status == 503);
    CHECK(response->fields.find(header::kRetryAfter));
    CHECK(response->fields.find("Content-Type") == "application/problem+json");
}

TEST_CASE("bad settings are rejected with their position, and no daemon starts", "[bad-input]") {
    FleetOptions options;
    options.base_port = 23'400;
    Fleet fleet(options);
    CHECK(fleet.run_program("anisehold", {"serve", "--daemon-id=x"}).status == 2);
    CHECK(fleet.run_program("anisehold", {"check", "--config", "/no/such/file"}).status == 2);
}
