#include <catch2/catch.hpp>
#include <map>

#include "routing/backend_registry.hpp"
#include "routing/balancer.hpp"
#include "routing/rendezvous.hpp"
#include "routing/route_table.hpp"

using namespace anisehold;
using namespace anisehold::routing;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

Endpoint server(std::uint16_t port) {
    return {"127.0.0.1", port};
}

std::vector<ListedServer> three_servers() {
    return {{server(1), "s", "a", false}, {server(2), "s", "b", false}, {server(3), "s", "c", false}};
}

config::TableRow request_row(const std::string& name, const std::string& method, const std::string& path) {
    config::TableRow row;
    row.name = name;
    row.kind = config::RowKind::kRequest;
    row.method = method;
    row.service = "s";
    row.path_prefix = path;
    return row;
}

}  // namespace

TEST_CASE("the most specific row applies") {
    config::TableRow service;
    service.name = service.service = "s";
    config::TableRecord record;
    record.table.rows = {service, request_row("any", "*", "/a"), request_row("get", "GET", "/a"),
                         request_row("deep", "*", "/a/b")};
    const RouteTable table(record, 5);
    CHECK(table.find("s", "GET", "/a/x?q=1")->row.name == "get");
    CHECK(table.find("s", "POST", "/a")->row.name == "any");
    CHECK(table.find("s", "GET", "/a/b/c")->row.name == "deep");
    CHECK(table.find("s", "GET", "/ab")->row.name == "s");
    CHECK(table.find("s", "GET", "/a/b")->service_row.name == "s");
    CHECK_FALSE(table.find("any", "GET", "/a"));
    CHECK_FALSE(table.find("unknown", "GET", "/"));
}

TEST_CASE("rendezvous hashing moves only the keys of a removed member") {
    std::vector<std::string> members{"a", "b", "c", "d"};
    std::map<std::string, unsigned> share;
    unsigned moved = 0;
    for (int key = 0; key < 4'000; ++key) {
        const auto text = std::to_string(key);
        const auto before = members[rendezvous_order(members, text).front()];
        ++share[before];
        std::vector<std::string> fewer{"a", "b", "c"};
        const auto after = fewer[rendezvous_order(fewer, text).front()];
        moved += before != "d" && before != after ? 1 : 0;
    }
    CHECK(moved == 0);
    for (const auto& [member, count] : share) {
        CHECK(count > 800);
    }
}

TEST_CASE("a server that reports leaving gets no new work, despite later list updates") {
    BackendRegistry registry;
    registry.update_list(at_ms(0), three_servers());
    CHECK(registry.candidates(at_ms(0), "s", {}).size() == 3);
    registry.mark_leaving(at_ms(0), server(1));
    CHECK(registry.candidates(at_ms(1), "s", {}).size() == 2);
    registry.update_list(at_ms(30'000), three_servers());
    CHECK(registry.candidates(at_ms(30'000), "s", {}).size() == 2);
}

TEST_CASE("if all servers report leaving, the list takes precedence") {
    BackendRegistry registry;
    registry.update_list(at_ms(0), three_servers());
    for (std::uint16_t port = 1; port <= 3; ++port) {
        registry.mark_leaving(at_ms(0), server(port));
    }
    CHECK(registry.candidates(at_ms(1), "s", {}).size() == 3);
}

TEST_CASE("a failing server is ejected, but at most half of the servers") {
    BackendRegistry registry;
    registry.update_list(at_ms(0), three_servers());
    for (int failure = 0; failure < 5; ++failure) {
        registry.on_outcome(at_ms(0), server(1), ServerOutcome::kFailure);
    }
    CHECK(registry.is_ejected(at_ms(1), server(1)));
    CHECK(registry.candidates(at_ms(1), "s", {}).size() == 2);
    CHECK(registry.candidates(at_ms(1'100), "s", {}).size() == 3);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        for (int failure = 0; failure < 5; ++failure) {
            registry.on_outcome(at_ms(2'000), server(port), ServerOutcome::kFailure);
        }
    }
    CHECK(registry.candidates(at_ms(2'001), "s", {}).size() == 3);
}

TEST_CASE("a server that joins later gets its load gradually") {
    BackendRegistry registry;
    auto list = three_servers();
    list.pop_back();
    registry.update_list(at_ms(0), list);
    registry.update_list(at_ms(10'000), three_servers());
    const auto cold = registry.candidates(at_ms(10'000), "s", {server(1), server(2)});
    REQUIRE(cold.size() == 1);
    CHECK(cold.front().load > 0.4);
    CHECK(registry.candidates(at_ms(16'000), "s", {server(1), server(2)}).front().load == 0);
}

TEST_CASE("the local zone is preferred until it is full") {
    std::mt19937_64 random(1);
    const std::vector<Candidate> roomy{{server(1), "a", 0.9}, {server(2), "b", 0.0}};
    CHECK(choose_server(roomy, "a", random)->endpoint == server(1));
    const std::vector<Candidate> full{{server(1), "a", 1.5}, {server(2), "b", 0.5}};
    CHECK(choose_server(full, "a", random)->endpoint == server(2));
    const std::vector<Candidate> all_full{{server(1), "a", 1.5}, {server(2), "b", 1.4}};
    CHECK(choose_server(all_full, "a", random)->endpoint == server(1));
    CHECK_FALSE(choose_server({}, "a", random));
}
