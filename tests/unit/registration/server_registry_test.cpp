#include "registration/server_registry.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::registration;

namespace {

const TimePoint kStart = TimePoint() + seconds(100);

Heartbeat heartbeat(const std::string& instance, std::uint64_t sequence, bool draining = false,
                    std::uint16_t port = 8080) {
    Heartbeat beat;
    beat.instance = instance;
    beat.service = "orders";
    beat.address = {"10.0.0.1", port};
    beat.slots = 4;
    beat.draining = draining;
    beat.sequence = sequence;
    return beat;
}

}  // namespace

TEST_CASE("a server appears with its first heartbeat") {
    ServerRegistry registry;
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 1)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("a") != nullptr);
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 2)) == RegistryChange::kRefreshed);
}

TEST_CASE("a late heartbeat changes nothing") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 5, true));
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 4)) == RegistryChange::kNone);
    CHECK(registry.find_ready("a") == nullptr);
}

TEST_CASE("draining is final for an instance") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 2, true)) == RegistryChange::kDraining);
    registry.on_heartbeat(kStart, heartbeat("a", 3));
    CHECK(registry.find_ready("a") == nullptr);
    CHECK(registry.ready_servers().empty());
}

TEST_CASE("a server that left isn't brought back by a late heartbeat") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.on_leave(kStart, "a") == RegistryChange::kLeft);
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 2)) == RegistryChange::kNone);
    CHECK(registry.find_ready("a") == nullptr);
}

TEST_CASE("leaving without notice before any heartbeat is remembered") {
    ServerRegistry registry;
    CHECK(registry.on_leave(kStart, "a") == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 1)) == RegistryChange::kNone);
}

TEST_CASE("a new server at the same address replaces the old one for good") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("old", 9));
    CHECK(registry.on_heartbeat(kStart, heartbeat("new", 1)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("old") == nullptr);
    CHECK(registry.on_heartbeat(kStart, heartbeat("old", 10)) == RegistryChange::kNone);
    CHECK(registry.find_ready("new") != nullptr);
}

TEST_CASE("a silent server is dropped, and comes back with its next heartbeat") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.expire(kStart + seconds(5), seconds(9)).empty());
    CHECK(registry.expire(kStart + seconds(10), seconds(9)) == std::vector<std::string>{"a"});
    CHECK(registry.find_ready("a") == nullptr);
    CHECK(registry.on_heartbeat(kStart + seconds(11), heartbeat("a", 2)) == RegistryChange::kAppeared);
}

TEST_CASE("changed slots are told") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    auto more = heartbeat("a", 2);
    more.slots = 8;
    CHECK(registry.on_heartbeat(kStart, more) == RegistryChange::kChanged);
    CHECK(registry.find_ready("a")->heartbeat.slots == 8);
}
