#include <catch2/catch.hpp>
#include <csignal>

#include "net/http_client.hpp"
#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

std::uint64_t received_while_draining(Fleet& fleet, const BackendProcess& place) {
    const auto counts = fleet.get(place.listen, "/lab/counts");
    return counts ? counts->at("received_while_draining").get<std::uint64_t>() : 0;
}

}  // namespace

TEST_CASE(
    "leaving: a back end that leaves gets no new work after two seconds, though the list lags and its "
    "health endpoint says fine",
    "[proof][leaving]") {
    Fleet fleet(proof_options("cooperative", 22'700));
    REQUIRE(fleet.start());
    const auto place = fleet.backends_of("registry").front();
    fleet.start_load("clients", {"--rate", "200", "--duration-ms", "7000"});
    Fleet::pause(milliseconds(1'000));
    fleet.set_faults(place.listen, {{"health_lies", true}});
    fleet.get(place.listen, "/lab/drain");
    Fleet::pause(milliseconds(2'000));
    const auto settled = received_while_draining(fleet, place);
    Fleet::pause(milliseconds(3'000));
    CHECK(received_while_draining(fleet, place) == settled);
    const auto result = fleet.finish_load("clients");
    CHECK(result["whole"] == result["sent"]);
}

TEST_CASE(
    "stops: back ends and daemons stop as planned in the middle of bookings and downloads; no request is "
    "cut or refused",
    "[proof][stops]") {
    Fleet fleet(proof_options("cooperative", 22'800));
    REQUIRE(fleet.start());
    for (std::size_t zone = 0; zone < 3; ++zone) {
        fleet.start_load("client-" + std::to_string(zone), {"--rate", "60", "--duration-ms", "17000"},
                         {zone, (zone + 1) % 3, (zone + 2) % 3});
    }
    Fleet::pause(milliseconds(1'000));
    fleet.terminate(fleet.backends_of("archive").front().name);
    fleet.terminate(fleet.backends_of("bookings").front().name);
    Fleet::pause(milliseconds(1'000));
    for (const auto& place : fleet.daemons()) {
        fleet.terminate(place.name);
        CHECK(fleet.wait_for_exit(place.name, seconds(15)) == 0);
        fleet.restart(place.name);
        CHECK(fleet.eventually(seconds(10), [&] {
            const auto status = fleet.get(place.admin, "/status");
            return status && status->at("table_revision") > 0 && !status->at("servers").empty();
        }));
    }
    unsigned sent = 0;
    unsigned whole = 0;
    for (std::size_t zone = 0; zone < 3; ++zone) {
        const auto result = fleet.finish_load("client-" + std::to_string(zone));
        INFO(result["kinds"].dump());
        CHECK(result["failed"] == 0);
        CHECK(result["refused"] == 0);
        CHECK(result["wrong"] == 0);
        sent += result["sent"].get<unsigned>();
        whole += result["whole"].get<unsigned>();
    }
    CHECK(whole == sent);
}

// Guards against a second stop signal, or SIGHUP, that ends `anisehold serve` at once and cuts the requests
// in flight. The load consists of requests that are repeated at another daemon only if they have not run.
TEST_CASE("stops: further stop signals do not shorten a daemon's planned stop", "[proof][stops]") {
    Fleet fleet(proof_options("cooperative", 23'200));
    REQUIRE(fleet.start());
    fleet.start_load("clients", {"--rate", "100", "--duration-ms", "5000", "--kind", "download-pack"});
    const auto& place = fleet.daemons().front();
    Fleet::pause(milliseconds(1'000));
    fleet.signal(place.name, SIGHUP);
    Fleet::pause(milliseconds(500));
    fleet.signal(place.name, SIGTERM);
    for (const int number : {SIGTERM, SIGHUP, SIGINT, SIGTERM}) {
        Fleet::pause(milliseconds(100));
        fleet.signal(place.name, number);
    }
    CHECK(fleet.wait_for_exit(place.name, seconds(15)) == 0);
    const auto result = fleet.finish_load("clients");
    INFO(result.dump());
    CHECK(result["failed"] == 0);
    CHECK(result["whole"] == result["sent"]);
}

// Guards against a log that nobody reads: once its pipe and its queue are full, the daemon stands still, and
// a stop never ends. Each request to an unknown path writes a line.
TEST_CASE("unread log: a daemon whose log nobody reads completes its requests and stops",
          "[proof][unread-log]") {
    auto options = proof_options("cooperative", 23'600);
    options.unread_logs = true;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    const auto& place = fleet.daemons().front();
    constexpr int unknown_requests = 8'000;
    net::HttpClient client(Fleet::loop().io(), place.call);
    int answered = 0;
    for (int n = 0; n < unknown_requests && answered == n; ++n) {
        auto request = net::make_request("GET", "/unknown");
        net::ExchangeProgress progress;
        std::error_code error;
        answered += client.exchange(request, {TimePoint::clock::now() + seconds(2)}, progress, error) ? 1 : 0;
    }
    CHECK(answered == unknown_requests);
    fleet.terminate(place.name);
    CHECK(fleet.wait_for_exit(place.name, seconds(15)) == 0);
}
