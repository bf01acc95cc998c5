#include "admission/declined_share.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace anisehold;
using namespace anisehold::admission;

namespace {

/// A server with 200 arrivals per second.
struct DecliningServer {
    void run(Duration time, double chance) {
        std::bernoulli_distribution declines(chance);
        for (const auto end = now + time; now < end; now += milliseconds(5)) {
            const auto change = record_arrival_end(share, now, declines(random));
            began += change == DeclineChange::kBegan ? 1 : 0;
            ended += change == DeclineChange::kEnded ? 1 : 0;
        }
    }

    TimePoint now = TimePoint() + seconds(1'000);
    DeclinedShare share;
    std::mt19937 random{1};
    int began = 0;
    int ended = 0;
};

}  // namespace

TEST_CASE("a declined share is found within half a second, and its end as soon") {
    DecliningServer server;
    server.run(seconds(5), 0);
    server.run(milliseconds(500), 0.55);
    CHECK(server.began == 1);
    CHECK(current_declined(server.share, server.now) > 0.3);
    server.run(seconds(5), 0.55);
    CHECK(current_declined(server.share, server.now) == Approx(0.55).margin(0.15));
    CHECK(declined_percent(server.share, server.now) > 40);
    CHECK(server.ended == 0);
    server.run(milliseconds(900), 0);
    CHECK(server.ended == 1);
    CHECK(declined_percent(server.share, server.now) == 0);
}

TEST_CASE("single refusals don't count as declining") {
    DecliningServer server;
    server.run(seconds(30), 0.02);
    CHECK(server.began == 0);
    CHECK(declined_percent(server.share, server.now) == 0);
}

TEST_CASE("without results the share decays to 0 within 2 s") {
    DecliningServer server;
    server.run(seconds(2), 0.55);
    const double before = current_declined(server.share, server.now);
    CHECK(current_declined(server.share, server.now + seconds(1)) < 0.6 * before);
    CHECK(expire_declined(server.share, server.now + seconds(1)) == DeclineChange::kNone);
    CHECK(current_declined(server.share, server.now + seconds(2)) == 0);
    CHECK(expire_declined(server.share, server.now + seconds(2)) == DeclineChange::kEnded);
    CHECK(expire_declined(server.share, server.now + seconds(3)) == DeclineChange::kNone);
}
