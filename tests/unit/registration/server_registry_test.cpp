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

TEST_CASE("a late heartbeat does not bring back a server that left") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.on_leave(kStart, "a") == RegistryChange::kLeft);
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 2)) == RegistryChange::kNone);
    CHECK(registry.find_ready("a") == nullptr);
}

TEST_CASE("a leave that arrives before any heartbeat is remembered") {
    ServerRegistry registry;
    CHECK(registry.on_leave(kStart, "a") == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart, heartbeat("a", 1)) == RegistryChange::kNone);
}

TEST_CASE("a new server at the same address replaces the old one permanently") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("old", 9));
    CHECK(registry.on_heartbeat(kStart, heartbeat("new", 1)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("old") == nullptr);
    CHECK(registry.on_heartbeat(kStart, heartbeat("old", 10)) == RegistryChange::kNone);
    CHECK(registry.find_ready("new") != nullptr);
}

TEST_CASE("a silent server is removed, and is added again with its next heartbeat") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.expire(kStart + seconds(5), seconds(9), seconds(3)).empty());
    CHECK(registry.expire(kStart + seconds(10), seconds(9), seconds(3)) == std::vector<std::string>{"a"});
    CHECK(registry.find_ready("a") == nullptr);
    CHECK(registry.on_heartbeat(kStart + seconds(11), heartbeat("a", 2)) == RegistryChange::kAppeared);
}

TEST_CASE("a change of slots is reported") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    auto more = heartbeat("a", 2);
    more.slots = 8;
    CHECK(registry.on_heartbeat(kStart, more) == RegistryChange::kChanged);
    CHECK(registry.find_ready("a")->heartbeat.slots == 8);
}

TEST_CASE("a probed server takes requests until its first heartbeat is overdue") {
    ServerRegistry registry;
    CHECK(registry.on_probed(kStart, heartbeat("a", 0)) == RegistryChange::kAppeared);
    REQUIRE(registry.find_ready("a") != nullptr);
    CHECK(registry.expire(kStart + seconds(3), seconds(9), seconds(3)).empty());
    CHECK(registry.expire(kStart + seconds(4), seconds(9), seconds(3)) == std::vector<std::string>{"a"});
}

TEST_CASE(
    "a probed server's first heartbeat is accepted with any sequence, and starts the normal silence limit") {
    ServerRegistry registry;
    registry.on_probed(kStart, heartbeat("a", 0));
    auto beat = heartbeat("a", 0);
    beat.slots = 9;
    CHECK(registry.on_heartbeat(kStart + seconds(1), beat) == RegistryChange::kChanged);
    CHECK(registry.find_ready("a")->heartbeat.slots == 9);
    CHECK(registry.expire(kStart + seconds(8), seconds(9), seconds(3)).empty());
}

TEST_CASE("a server's own messages take precedence over a health probe") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1, true));
    CHECK(registry.on_probed(kStart, heartbeat("a", 0)) == RegistryChange::kNone);
    CHECK(registry.find_ready("a") == nullptr);
    registry.on_leave(kStart, "a");
    CHECK(registry.on_probed(kStart, heartbeat("a", 0)) == RegistryChange::kNone);
    registry.on_heartbeat(kStart, heartbeat("b", 1));
    CHECK(registry.on_probed(kStart, heartbeat("c", 0)) == RegistryChange::kNone);
    registry.on_probed(kStart, heartbeat("d", 0, false, 9090));
    CHECK(registry.on_heartbeat(kStart, heartbeat("d", 3, true, 9090)) == RegistryChange::kDraining);
    CHECK(registry.find_ready("d") == nullptr);
}

TEST_CASE("a service is served while one of its servers takes requests") {
    ServerRegistry registry;
    CHECK_FALSE(registry.serves("orders"));
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.serves("orders"));
    CHECK_FALSE(registry.serves("stock"));
    registry.on_heartbeat(kStart, heartbeat("a", 2, true));
    CHECK_FALSE(registry.serves("orders"));
}

namespace {

Heartbeat started(std::uint64_t start_time, std::uint64_t sequence, bool draining = false) {
    auto beat = heartbeat("a", sequence, draining);
    beat.start_time = ServerStart(start_time);
    return beat;
}

}  // namespace

TEST_CASE("a server that left registers again with its next start, with a new sequence") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 40));
    CHECK(registry.on_leave(kStart, "a") == RegistryChange::kLeft);
    CHECK(registry.on_heartbeat(kStart, started(1'000, 41)) == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart, started(2'000, 1)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("a") != nullptr);
}

TEST_CASE("a server that was draining registers again with its next start") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 40));
    CHECK(registry.on_heartbeat(kStart, started(1'000, 41, true)) == RegistryChange::kDraining);
    CHECK(registry.on_heartbeat(kStart, started(2'000, 1)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("a") != nullptr);
}

TEST_CASE("a restarted server's heartbeat with sequence 1 is not taken for a late one") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 40));
    CHECK(registry.on_heartbeat(kStart, started(2'000, 1)) == RegistryChange::kAppeared);
    REQUIRE(registry.find_ready("a") != nullptr);
    CHECK(registry.find_ready("a")->heartbeat.sequence == 1);
}

TEST_CASE("a late heartbeat or leave of an earlier start changes nothing") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 1));
    auto now_serving = started(2'000, 1);
    now_serving.slots = 9;
    registry.on_heartbeat(kStart, now_serving);
    CHECK(registry.on_heartbeat(kStart, started(1'000, 50, true)) == RegistryChange::kNone);
    CHECK(registry.on_leave(kStart, "a", ServerStart(1'000)) == RegistryChange::kNone);
    REQUIRE(registry.find_ready("a") != nullptr);
    CHECK(registry.find_ready("a")->heartbeat.slots == 9);
    CHECK(registry.on_leave(kStart, "a", ServerStart(2'000)) == RegistryChange::kLeft);
}

TEST_CASE("a heartbeat that gives a known start another service is ignored") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 1));
    auto foreign = started(1'000, 2);
    foreign.service = "nowhere";
    CHECK(registry.on_heartbeat(kStart, foreign) == RegistryChange::kNone);
    CHECK(registry.serves("orders"));
}

TEST_CASE("a server that crashed takes requests again with its next heartbeat") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, started(1'000, 40));
    CHECK(registry.on_crash("a"));
    CHECK_FALSE(registry.on_crash("a"));
    CHECK(registry.find_ready("a") == nullptr);
    CHECK(registry.on_heartbeat(kStart, started(2'000, 1)) == RegistryChange::kAppeared);
}

TEST_CASE("a server displaced by another writer's entry is reinstated after further heartbeats") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("living", 9));
    CHECK(registry.on_heartbeat(kStart, heartbeat("made-up", 1)) == RegistryChange::kAppeared);
    CHECK(registry.on_heartbeat(kStart + seconds(1), heartbeat("living", 10)) == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart + seconds(2), heartbeat("living", 10)) == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart + seconds(3), heartbeat("living", 11)) == RegistryChange::kNone);
    CHECK(registry.on_heartbeat(kStart + seconds(4), heartbeat("living", 12)) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("living") != nullptr);
    CHECK(registry.find_ready("made-up") == nullptr);
}

TEST_CASE("a server that reported leaving stays removed for that start") {
    ServerRegistry registry;
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    registry.on_leave(kStart, "a");
    for (std::uint64_t sequence = 2; sequence < 10; ++sequence) {
        CHECK(registry.on_heartbeat(kStart, heartbeat("a", sequence)) == RegistryChange::kNone);
    }
}

TEST_CASE("leaving reported in a response is final, despite later heartbeats") {
    ServerRegistry registry;
    CHECK(registry.on_leaving_answer("a") == RegistryChange::kNone);
    registry.on_heartbeat(kStart, heartbeat("a", 1));
    CHECK(registry.on_leaving_answer("a") == RegistryChange::kDraining);
    CHECK(registry.on_leaving_answer("a") == RegistryChange::kNone);
    registry.on_heartbeat(kStart, heartbeat("a", 2));
    CHECK(registry.find_ready("a") == nullptr);
    CHECK(registry.expire(kStart + seconds(10), seconds(3), seconds(1)).size() == 1);
    CHECK(registry.on_heartbeat(kStart + seconds(10), heartbeat("a", 3)) == RegistryChange::kNone);
    CHECK(registry.find_ready("a") == nullptr);
}

TEST_CASE("a later start of a server that left by a response takes requests") {
    ServerRegistry registry;
    auto first = heartbeat("a", 1);
    first.start_time = ServerStart(100);
    registry.on_heartbeat(kStart, first);
    registry.on_leaving_answer("a");
    auto second = heartbeat("a", 1);
    second.start_time = ServerStart(200);
    CHECK(registry.on_heartbeat(kStart, second) == RegistryChange::kAppeared);
    CHECK(registry.find_ready("a") != nullptr);
}
