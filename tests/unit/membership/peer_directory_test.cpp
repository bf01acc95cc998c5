#include "membership/peer_directory.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::membership;

namespace {

const TimePoint kStart = TimePoint() + seconds(100);

PeerRecord record(const std::string& name, std::uint64_t boot, std::uint64_t sequence) {
    PeerRecord result;
    result.name = name;
    result.zone = "z1";
    result.boot_id = boot;
    result.sequence = sequence;
    result.call = {"10.0.0.1", 80};
    result.gossip = {"10.0.0.1", 81};
    ServerRecord server;
    server.instance = name + "-server";
    server.service = "orders";
    result.servers = {server};
    return result;
}

PeerDirectory directory() {
    return PeerDirectory("self", "z1", PeerTimes{milliseconds(3'500), milliseconds(600'000)});
}

}  // namespace

TEST_CASE("servers of reachable peers are known") {
    auto peers = directory();
    CHECK(peers.on_record(kStart, record("a", 1, 1)) == PeerChange::kAppeared);
    REQUIRE(peers.servers_of(kStart, "orders").local.size() == 1);
    CHECK(peers.servers_of(kStart, "orders").local.front()->peer == "a");
    CHECK(peers.servers_of(kStart, "other").empty());
}

TEST_CASE("an older record of the same boot changes nothing") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 5));
    CHECK(peers.on_record(kStart, record("a", 1, 5)) == PeerChange::kNone);
    CHECK(peers.on_record(kStart, record("a", 1, 4)) == PeerChange::kNone);
    CHECK(peers.on_record(kStart, record("a", 1, 6)) == PeerChange::kRefreshed);
}

TEST_CASE("a restarted peer starts its sequence anew") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 50));
    CHECK(peers.on_record(kStart, record("a", 2, 1)) == PeerChange::kAppeared);
    CHECK(peers.servers_of(kStart, "orders").local.front()->boot_id == 2);
}

TEST_CASE("a silent peer is unreachable but still receives records") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    CHECK(peers.servers_of(kStart + seconds(4), "orders").empty());
    CHECK(peers.reachable_count(kStart + seconds(4)) == 0);
    CHECK(peers.addresses().size() == 1);
    CHECK(peers.on_record(kStart + seconds(5), record("a", 1, 2)) == PeerChange::kAppeared);
    peers.expire(kStart + seconds(700));
    CHECK(peers.addresses().empty());
}

TEST_CASE("a failed connection makes a peer unreachable until its next record") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    peers.on_unreachable("a", 2);
    CHECK(peers.servers_of(kStart, "orders").local.size() == 1);
    peers.on_unreachable("a", 1);
    CHECK(peers.servers_of(kStart, "orders").empty());
    peers.on_record(kStart, record("a", 1, 2));
    CHECK(peers.servers_of(kStart, "orders").local.size() == 1);
}

TEST_CASE("a leaving peer's server gets no new requests") {
    auto peers = directory();
    auto leaving = record("a", 1, 1);
    leaving.leaving = true;
    peers.on_record(kStart, leaving);
    CHECK(peers.servers_of(kStart, "orders").empty());
}

TEST_CASE("an address from the store doesn't replace a received record") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    peers.on_address(kStart, {"a", {"10.9.9.9", 9}});
    peers.on_address(kStart, {"b", {"10.0.0.2", 81}});
    peers.on_address(kStart, {"self", {"10.0.0.3", 81}});
    CHECK(peers.addresses().size() == 2);
    CHECK(peers.addresses().front().gossip.ip == "10.0.0.1");
    CHECK(peers.reachable_count(kStart) == 1);
}

TEST_CASE("load reported with a response updates only the same instance") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    ServerRecord load;
    load.instance = "a-server";
    load.in_flight = 7;
    peers.on_load("a", load);
    CHECK(peers.servers_of(kStart, "orders").local.front()->server.in_flight == 7);
    load.instance = "another";
    load.in_flight = 9;
    peers.on_load("a", load);
    CHECK(peers.servers_of(kStart, "orders").local.front()->server.in_flight == 7);
}

TEST_CASE("records survive their encoding, and malformed ones are refused") {
    const auto sent = record("a", 1, 1);
    const auto bytes = encode(sent);
    const auto received = decode_peer_record(bytes);
    REQUIRE(received);
    CHECK(received->name == "a");
    CHECK(received->servers == sent.servers);
    CHECK_FALSE(decode_peer_record(""));
    CHECK_FALSE(decode_peer_record("A" + bytes.substr(1)));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decode_peer_record(std::string_view(bytes).substr(0, length)));
    }
}

TEST_CASE("record periods and silence timeouts grow with the fleet") {
    CHECK(record_periods({8, 8}).local == seconds(1));
    CHECK(record_periods({8, 8}).remote == seconds(1));
    CHECK(record_periods({8, 8}, true).remote < seconds(1));
    CHECK(record_periods({50, 250}).local == milliseconds(2'500));
    CHECK(record_periods({50, 250}).remote == milliseconds(12'500));
    CHECK(record_periods({50, 250}, true).local == seconds(3));
    CHECK(record_periods({50, 250}, true).remote == seconds(3));
    PeerDirectory directory("self", "z0", {});
    const TimePoint now{seconds(100)};
    for (int index = 0; index < 300; ++index) {
        PeerRecord record;
        record.name = "peer-" + std::to_string(index);
        record.zone = "z" + std::to_string(index % 6);
        record.boot_id = 1;
        record.sequence = 1;
        directory.on_record(now, record);
    }
    // A single lost datagram does not make a peer silent.
    CHECK(directory.reachable_count(now + seconds(7)) == 300);
    // Silence is detected first for peers in the local zone.
    CHECK(directory.reachable_in_local_zone(now + seconds(7)).size() == 50);
    CHECK(directory.reachable_in_local_zone(now + seconds(9)).empty());
    CHECK(directory.reachable_count(now + seconds(30)) == 250);
    CHECK(directory.reachable_count(now + seconds(45)) == 0);
}

TEST_CASE("only working watches of reachable peers in the local zone count") {
    auto peers = directory();
    auto remote = record("far", 1, 1);
    remote.zone = "z2";
    remote.watches_store = true;
    peers.on_record(kStart, remote);
    CHECK_FALSE(peers.any_watch_in_local_zone(kStart));
    auto local = record("near", 1, 1);
    local.watches_store = true;
    peers.on_record(kStart, local);
    CHECK(peers.any_watch_in_local_zone(kStart));
    CHECK_FALSE(peers.any_watch_in_local_zone(kStart + seconds(4)));
    local.watches_store = false;
    local.sequence = 2;
    peers.on_record(kStart, local);
    CHECK_FALSE(peers.any_watch_in_local_zone(kStart));
}

TEST_CASE("a view of a service's servers reflects changes at once and silence after a delay") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    REQUIRE(peers.servers_of(kStart, "orders").local.size() == 1);
    auto remote = record("b", 1, 1);
    remote.zone = "z2";
    peers.on_record(kStart, remote);
    REQUIRE(peers.servers_of(kStart, "orders").remote.size() == 1);
    CHECK(peers.servers_of(kStart, "orders").remote.front()->peer == "b");
    // A refreshed record is visible through the existing view.
    auto busy = record("a", 1, 2);
    busy.servers.front().in_flight = 5;
    busy.servers.front().latency_us = 900;
    peers.on_record(kStart, busy);
    CHECK(peers.servers_of(kStart, "orders").local.front()->server.in_flight == 5);
    auto leaving = record("a", 1, 3);
    leaving.leaving = true;
    peers.on_record(kStart, leaving);
    CHECK(peers.servers_of(kStart, "orders").local.empty());
    CHECK(peers.servers_of(kStart + milliseconds(3'400), "orders").remote.size() == 1);
    CHECK(peers.servers_of(kStart + milliseconds(3'600), "orders").empty());
}

TEST_CASE("the preferred servers of a fleet's daemons spread evenly over all servers") {
    constexpr int daemons = 50;
    constexpr int servers = 24;
    std::map<std::string, int> users;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        PeerDirectory peers("daemon-" + std::to_string(daemon), "z1", {});
        for (int server = 0; server < servers; ++server) {
            peers.on_record(kStart, record("peer-" + std::to_string(server), 1, 1));
        }
        const auto& view = peers.servers_of(kStart, "orders");
        REQUIRE(view.local.size() == servers);
        REQUIRE(view.preferred_local == 6);
        for (std::size_t index = 0; index < view.preferred_local; ++index) {
            ++users[view.local[index]->peer];
        }
    }
    // Each server is preferred by 12.5 daemons on average, by at least four, and by at most twice the
    // average.
    CHECK(users.size() == servers);
    for (const auto& [name, count] : users) {
        CHECK(count >= 4);
        CHECK(count <= 25);
    }
}

TEST_CASE("the announcement gap grows with the fleet") {
    CHECK(min_announcement_gap({4, 10}) == milliseconds(70));
    CHECK(min_announcement_gap({17, 53}) == milliseconds(350));
    CHECK(min_announcement_gap({50, 100}) == seconds(1));
    CHECK(min_announcement_gap({48, 246}) == milliseconds(2'940));
    CHECK(min_announcement_gap({}) == Duration::zero());
}

TEST_CASE("a response updates the present speed of a server, and a later record replaces it") {
    auto peers = directory();
    peers.on_record(kStart, record("a", 1, 1));
    const auto& known = *peers.servers_of(kStart, "orders").local.front();
    CHECK(known.server.slow_percent == kUsualSlowPercent);
    peers.on_speed(kStart + milliseconds(10), "a", known.server.instance, 250);
    CHECK(known.server.slow_percent == 250);
    CHECK(known.speed_seen == kStart + milliseconds(10));
    peers.on_speed(kStart, "unknown", known.server.instance, 300);
    CHECK(known.server.slow_percent == 250);
    peers.on_record(kStart + milliseconds(20), record("a", 1, 2));
    CHECK(known.server.slow_percent == kUsualSlowPercent);
}
