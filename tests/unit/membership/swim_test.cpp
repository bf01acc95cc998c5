#include "membership/swim.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "daemon/peer_messages.hpp"

using namespace anisehold;
using namespace anisehold::daemon;
using namespace anisehold::membership;

namespace {

constexpr milliseconds kPeriod{500};
constexpr milliseconds kTick{125};

/// Simulates a fleet in virtual time: the state machine of every member, and a network with delay, loss and
/// partitions.
class Simulation {
  public:
    Simulation(std::size_t members, std::uint64_t seed) : random_(seed) {
        for (std::size_t index = 0; index < members; ++index) {
            start(index, 1'000);
        }
        std::vector<MemberRecord> all;
        for (const auto& swim : swims_) {
            all.push_back(swim->self());
        }
        for (const auto& swim : swims_) {
            swim->merge(now_, all);
        }
    }

    void start(std::size_t index, std::uint64_t incarnation) {
        SwimConfig config;
        config.period_ms = kPeriod;
        config.seeds = {endpoint(0), endpoint(1)};
        MemberInfo info;
        info.id = "m" + std::to_string(index);
        info.zone = "z" + std::to_string(index % 3);
        info.boot_id = random_();
        info.peer = endpoint(index);
        if (index == swims_.size()) {
            swims_.emplace_back();
            running_.push_back(true);
        }
        swims_[index] = std::make_unique<Swim>(config, info, incarnation, random_());
        running_[index] = true;
    }
    void stop(std::size_t index) { running_[index] = false; }
    void resume(std::size_t index) { running_[index] = true; }
    void set_loss(double loss) { loss_ = loss; }
    /// Partitions the network: members with different marks cannot communicate.
    void cut(const std::function<int(std::size_t)>& mark) { mark_ = mark; }
    void heal() { mark_ = {}; }

    void run(Duration duration) {
        const auto end = now_ + duration;
        while (now_ < end) {
            now_ += milliseconds(5);
            deliver();
            for (std::size_t index = 0; index < swims_.size(); ++index) {
                // Each member ticks at its own phase.
                const bool due = (now_.time_since_epoch() / milliseconds(5) + static_cast<long>(index)) %
                                     (kTick / milliseconds(5)) ==
                                 0;
                if (running_[index] && due) {
                    send(index, swims_[index]->tick(now_));
                }
            }
        }
    }

    MemberState state_seen_by(std::size_t observer, std::size_t member) const {
        const auto* record = swims_[observer]->find("m" + std::to_string(member));
        return record == nullptr ? MemberState::kLeft : record->state;
    }
    /// Number of running members that consider `member` dead or do not know it.
    std::size_t count_considering_dead(std::size_t member) const {
        std::size_t count = 0;
        for (std::size_t observer = 0; observer < swims_.size(); ++observer) {
            const auto state = state_seen_by(observer, member);
            const bool gone = state == MemberState::kDead || state == MemberState::kLeft;
            count += running_[observer] && observer != member && gone ? 1 : 0;
        }
        return count;
    }
    std::size_t false_dead_count() const {
        std::size_t count = 0;
        for (std::size_t member = 0; member < swims_.size(); ++member) {
            count += running_[member] ? count_considering_dead(member) : 0;
        }
        return count;
    }
    Swim& swim(std::size_t index) { return *swims_[index]; }
    std::uint64_t bytes_sent() const { return bytes_; }
    std::size_t size() const { return swims_.size(); }
    void count_bytes(bool on) { count_bytes_ = on; }

  private:
    struct InFlight {
        TimePoint at;
        std::size_t from;
        std::size_t to;
        GossipMessage message;
        bool operator<(const InFlight& other) const { return at > other.at; }
    };

    static Endpoint endpoint(std::size_t index) {
        return {"127.0.0.1", static_cast<std::uint16_t>(10'000 + index)};
    }

    void send(std::size_t from, const std::vector<Datagram>& datagrams) {
        for (const auto& datagram : datagrams) {
            const std::size_t to = datagram.to.port - 10'000U;
            if (count_bytes_) {
                bytes_ += daemon::encode(datagram.message, "0123456789abcdef").size();
            }
            const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
            const bool separated = mark_ && mark_(from) != mark_(to);
            if (!lost && !separated) {
                in_flight_.push({now_ + milliseconds(1 + random_() % 10), from, to, datagram.message});
            }
        }
    }
    void deliver() {
        while (!in_flight_.empty() && in_flight_.top().at <= now_) {
            const auto next = in_flight_.top();
            in_flight_.pop();
            if (running_[next.to]) {
                send(next.to, swims_[next.to]->receive(now_, endpoint(next.from), next.message));
            }
        }
    }

    std::mt19937_64 random_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::vector<std::unique_ptr<Swim>> swims_;
    std::vector<bool> running_;
    std::priority_queue<InFlight> in_flight_;
    double loss_ = 0;
    std::function<int(std::size_t)> mark_;
    std::uint64_t bytes_ = 0;
    bool count_bytes_ = false;
};

}  // namespace

TEST_CASE("all members detect a dead member within a bound, without false positives") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        Simulation simulation(60, seed);
        simulation.set_loss(0.01);
        simulation.run(seconds(5));
        simulation.stop(7);
        simulation.run(seconds(20));
        CHECK(simulation.count_considering_dead(7) == 59);
        CHECK(simulation.false_dead_count() == 0);
    }
}

TEST_CASE("no live member stays declared dead after a zone partition heals") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        Simulation simulation(60, seed);
        simulation.run(seconds(2));
        simulation.cut([](std::size_t index) { return static_cast<int>(index % 3 == 2); });
        simulation.run(seconds(60));
        CHECK(simulation.false_dead_count() == 2 * 40 * 20);
        simulation.heal();
        simulation.run(seconds(60));
        CHECK(simulation.false_dead_count() == 0);
    }
}

TEST_CASE("a paused member is considered alive again and declares no other member dead on resuming") {
    Simulation simulation(30, 5);
    simulation.run(seconds(2));
    simulation.stop(3);
    simulation.run(seconds(30));
    CHECK(simulation.count_considering_dead(3) == 29);
    simulation.resume(3);
    simulation.run(seconds(30));
    CHECK(simulation.false_dead_count() == 0);
}

TEST_CASE("a restarted member replaces its predecessor even if its clock is behind") {
    Simulation simulation(20, 6);
    simulation.run(seconds(2));
    const auto old_boot = simulation.swim(4).self().info.boot_id;
    simulation.stop(4);
    simulation.run(seconds(1));
    simulation.start(4, 10);
    simulation.run(seconds(60));
    for (std::size_t observer = 0; observer < simulation.size(); ++observer) {
        const auto* record = simulation.swim(observer).find("m4");
        REQUIRE(record != nullptr);
        CHECK(record->info.boot_id != old_boot);
        CHECK(record->state == MemberState::kAlive);
    }
}

TEST_CASE("a planned shutdown reaches all members without suspicion") {
    Simulation simulation(30, 8);
    simulation.run(seconds(2));
    simulation.swim(9).announce_self(MemberState::kLeaving);
    simulation.run(seconds(5));
    for (std::size_t observer = 0; observer < simulation.size(); ++observer) {
        CHECK(simulation.state_seen_by(observer, 9) == MemberState::kLeaving);
        CHECK(simulation.swim(observer).working_members().size() == 29);
    }
}

TEST_CASE("bytes a member sends in a period stay constant as members grow") {
    const auto bytes_per_member_second = [](std::size_t members) {
        Simulation simulation(members, 4);
        // Waits until the joins of all members have been disseminated.
        simulation.run(seconds(100));
        simulation.count_bytes(true);
        simulation.run(seconds(10));
        return static_cast<double>(simulation.bytes_sent()) / static_cast<double>(members) / 10.0;
    };
    const double small = bytes_per_member_second(30);
    const double large = bytes_per_member_second(150);
    CHECK(large < small * 1.3);
    CHECK(large < 8'000);
}
