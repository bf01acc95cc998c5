#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "claims/claim_holder.hpp"
#include "claims/claim_tally.hpp"
#include "claims/holder_view.hpp"

using namespace anisehold;
using namespace anisehold::claims;

namespace {

constexpr milliseconds kWindow{100'000};

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

Holder holder(const std::string& id, std::uint64_t boot, const std::string& zone) {
    return {id, boot, zone};
}

ClaimRequest request(std::uint64_t epoch, const std::string& key, std::uint64_t claimant) {
    return {epoch, key, claimant, 0, "c", 1};
}

}  // namespace

TEST_CASE("a key's holders are in different zones if there are enough zones") {
    std::vector<Holder> holders;
    holders.reserve(9);
    for (int index = 0; index < 9; ++index) {
        holders.push_back(holder("h" + std::to_string(index), 1, "z" + std::to_string(index % 3)));
    }
    for (int key = 0; key < 200; ++key) {
        const auto picked = holders_of_key(holders, std::to_string(key));
        REQUIRE(picked.size() == kHoldersPerKey);
        CHECK(std::set<std::string>{picked[0].zone, picked[1].zone, picked[2].zone}.size() == 3);
    }
    CHECK(holders_of_key({holders[0], holders[3]}, "x").size() == 2);
    CHECK(holders_of_key({}, "x").empty());
}

TEST_CASE("all grants are known without one zone's holders, but not without two zones' holders") {
    const std::vector<Holder> holders{holder("a", 1, "x"), holder("b", 1, "y"), holder("c", 1, "z"),
                                      holder("d", 1, "x")};
    CHECK(can_reconstruct_grants(holders, {}));
    CHECK(can_reconstruct_grants(holders, {holders[0], holders[3]}));
    CHECK_FALSE(can_reconstruct_grants(holders, {holders[0], holders[1]}));
    CHECK_FALSE(can_reconstruct_grants({holders[0]}, {holders[0]}));
}

TEST_CASE("current holders are kept, and others are added up to the number per zone") {
    const std::vector<Holder> current{holder("a", 1, "x"), holder("b", 1, "y")};
    const std::vector<Holder> working{holder("a", 1, "x"), holder("b", 2, "y"), holder("c", 1, "x"),
                                      holder("d", 1, "x")};
    const auto chosen = choose_holders(current, working, 2);
    CHECK(chosen.size() == 3);
    CHECK(chosen[0] == current[0]);
    CHECK(choose_holders(chosen, working, 2) == chosen);
}

TEST_CASE("a holder view survives conversion to JSON, and malformed text is rejected") {
    const HolderView view{3, {holder("a", 1, "x")}, {holder("b", 18'000'000'000'000'000'000ULL, "y")}};
    HolderView parsed;
    REQUIRE(parse_holder_view(to_json_text(view), parsed));
    CHECK(parsed.epoch == 3);
    CHECK(parsed.previous == view.previous);
    HolderView ignored;
    CHECK_FALSE(parse_holder_view("{}", ignored));
    CHECK_FALSE(parse_holder_view("{\"epoch\":1,\"holders\":[3],\"previous\":[]}", ignored));
}

TEST_CASE("a holder grants a key once, and again only after a release") {
    ClaimHolder member(holder("a", 1, "x"), kWindow);
    member.install_view({1, {holder("a", 1, "x")}, {}});
    CHECK(member.handle(at_ms(0), request(1, "k", 7)).verdict == ClaimVerdict::kGranted);
    CHECK(member.handle(at_ms(0), request(1, "k", 7)).verdict == ClaimVerdict::kGranted);
    CHECK(member.handle(at_ms(0), request(1, "k", 8)).verdict == ClaimVerdict::kDenied);
    CHECK(member.handle(at_ms(0), request(2, "k", 8)).verdict == ClaimVerdict::kAbstain);
    member.handle(ClaimUpdate{"k", 8, ClaimEnd::kReleased});
    CHECK(member.handle(at_ms(0), request(1, "k", 8)).verdict == ClaimVerdict::kDenied);
    member.handle(ClaimUpdate{"k", 7, ClaimEnd::kCompleted});
    CHECK(member.handle(at_ms(0), request(1, "k", 8)).state == ClaimState::kCompleted);
    member.handle(ClaimUpdate{"k", 7, ClaimEnd::kReleased});
    CHECK(member.handle(at_ms(0), request(1, "k", 8)).verdict == ClaimVerdict::kGranted);
}

TEST_CASE("a holder of a new view abstains until enough holders of the old view have replied") {
    const std::vector<Holder> old{holder("a", 1, "x"), holder("b", 1, "y"), holder("c", 1, "z")};
    const std::vector<Holder> next{old[0], old[1], holder("c", 2, "z")};
    ClaimHolder a(old[0], kWindow);
    ClaimHolder restarted(next[2], kWindow);
    a.install_view({1, old, {}});
    a.handle(at_ms(0), request(1, "k", 7));
    restarted.install_view({2, next, old});
    CHECK_FALSE(restarted.serving());
    CHECK(restarted.sync_sources().size() == 3);
    const auto reply = a.handle(at_ms(1), restarted.sync_request());
    CHECK(reply.complete);
    CHECK_FALSE(a.serving());
    restarted.on_sync_reply(at_ms(1), "a", reply);
    CHECK_FALSE(restarted.serving());
    restarted.on_sync_reply(at_ms(1), "b", {true, {}});
    CHECK(restarted.serving());
    CHECK(restarted.handle(at_ms(2), request(2, "k", 8)).verdict == ClaimVerdict::kDenied);
}

TEST_CASE(
    "after the loss of all holders, new holders abstain until the old ones have been gone for a whole "
    "window") {
    const std::vector<Holder> old{holder("a", 1, "x"), holder("b", 1, "y"), holder("c", 1, "z")};
    const std::vector<Holder> next{holder("a", 2, "x"), holder("b", 2, "y"), holder("c", 2, "z")};
    ClaimHolder a(next[0], kWindow);
    a.install_view({2, next, old});
    a.tick(at_ms(0), {});
    a.tick(at_ms(500'000), {});
    CHECK_FALSE(a.serving());
    a.tick(at_ms(500'000), old);
    a.tick(at_ms(500'000 + kWindow.count() - 1), old);
    CHECK_FALSE(a.serving());
    a.tick(at_ms(500'000 + kWindow.count()), old);
    CHECK(a.serving());
}

TEST_CASE("a tally wins by majority, and reports a duplicate only if a holder knows of another attempt") {
    const auto reply = [](ClaimVerdict verdict) {
        ClaimReply result;
        result.verdict = verdict;
        return result;
    };
    ClaimTally won(3);
    won.on_reply(reply(ClaimVerdict::kGranted));
    CHECK(won.result() == ClaimResult::kPending);
    won.on_reply(reply(ClaimVerdict::kGranted));
    CHECK(won.result() == ClaimResult::kWon);
    ClaimTally lost(3);
    lost.on_reply(reply(ClaimVerdict::kDenied));
    lost.on_reply(reply(ClaimVerdict::kDenied));
    CHECK(lost.result() == ClaimResult::kDuplicate);
    ClaimTally unavailable(3);
    unavailable.on_reply(reply(ClaimVerdict::kGranted));
    unavailable.on_no_reply();
    unavailable.on_no_reply();
    CHECK(unavailable.result() == ClaimResult::kUnavailable);
    CHECK(ClaimTally(0).result() == ClaimResult::kUnavailable);
}

namespace {

/// Explores random schedules of claims: claimants, holders that crash, restart and pause, messages that are
/// lost, duplicated and reordered, and view changes. Counts keys that two claimants won.
class ScheduleChecker {
  public:
    ScheduleChecker(std::uint64_t seed, bool abstains) : random_(seed), abstains_(abstains) {
        for (int index = 0; index < 5; ++index) {
            restart(index);
        }
        change_view();
    }

    void step() {
        ++now_ms_;
        const auto choice = random_() % 1'000;
        if (choice < 130) {
            start_claim();
        } else if (choice < 900) {
            deliver();
        } else if (choice < 903) {
            restart(static_cast<int>(random_() % nodes_.size()));
        } else if (choice < 908) {
            nodes_[random_() % nodes_.size()].paused = random_() % 3 == 0;
        } else if (choice < 920) {
            change_view();
        } else {
            learn_view_and_sync(nodes_[random_() % nodes_.size()]);
        }
    }

    unsigned violations() const { return violations_; }
    unsigned wins() const { return wins_; }

  private:
    struct Node {
        Holder self;
        std::unique_ptr<ClaimHolder> state;
        bool paused = false;
    };
    struct Claimant {
        std::string key;
        ClaimRequest request;
        ClaimTally tally{0};
        bool ended = false;
    };
    /// A message to a holder: a claim, a release, or another holder's request for its grants.
    struct Message {
        enum class Kind { kClaim, kUpdate, kSync } kind;
        std::size_t node;
        std::uint64_t boot;
        std::uint64_t claimant;
        ClaimUpdate update;
        ClaimSyncRequest sync;
        std::size_t requester = 0;
        std::uint64_t requester_boot = 0;
    };

    TimePoint now() const { return at_ms(now_ms_); }

    void restart(int index) {
        const auto place = static_cast<std::size_t>(index);
        if (nodes_.size() <= place) {
            nodes_.resize(place + 1);
        }
        Node& node = nodes_[place];
        node.self = holder("h" + std::to_string(index), next_id_++, "z" + std::to_string(index % 3));
        node.state = std::make_unique<ClaimHolder>(node.self, std::chrono::hours(10), abstains_);
        node.paused = false;
    }

    void change_view() {
        std::vector<Holder> working;
        for (const auto& node : nodes_) {
            if (!node.paused) {
                working.push_back(node.self);
            }
        }
        const auto holders = choose_holders(view_.holders, working, 2);
        if (holders == view_.holders || holders.empty() || !present_view_is_covered()) {
            return;
        }
        view_ = HolderView{view_.epoch + 1, holders, view_.holders};
    }

    bool present_view_is_covered() const {
        std::vector<Holder> missing;
        for (const auto& each : view_.holders) {
            const bool serves = std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
                return node.self == each && node.state->serving() && node.state->view().epoch == view_.epoch;
            });
            if (!serves) {
                missing.push_back(each);
            }
        }
        return view_.holders.empty() || can_reconstruct_grants(view_.holders, missing);
    }

    void learn_view_and_sync(Node& node) {
        if (node.paused) {
            return;
        }
        node.state->install_view(view_);
        for (const auto& source : node.state->sync_sources()) {
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                if (nodes_[index].self == source) {
                    Message message{Message::Kind::kSync,      index, source.boot_id, 0, {},
                                    node.state->sync_request()};
                    message.requester = static_cast<std::size_t>(&node - nodes_.data());
                    message.requester_boot = node.self.boot_id;
                    messages_.push_back(message);
                }
            }
        }
    }

    void start_claim() {
        const auto id = next_id_++;
        // Few keys, so that claimants conflict.
        const std::string key = std::to_string(random_() % 5 + now_ms_ / 2'000 * 5);
        const auto holders = holders_of_key(view_.holders, key);
        claimants_[id] = Claimant{key, request(view_.epoch, key, id), ClaimTally(holders.size()), false};
        for (const auto& target : holders) {
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                if (nodes_[index].self == target) {
                    messages_.push_back({Message::Kind::kClaim, index, target.boot_id, id, {}, {}});
                }
            }
        }
        if (random_() % 10 == 0) {
            give_up(claimants_[id], id);
        }
    }

    void give_up(Claimant& claimant, std::uint64_t id) {
        claimant.ended = true;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            messages_.push_back({Message::Kind::kUpdate,
                                 index,
                                 nodes_[index].self.boot_id,
                                 id,
                                 ClaimUpdate{claimant.key, id, ClaimEnd::kReleased},
                                 {}});
        }
    }

    void deliver() {
        if (messages_.empty()) {
            return;
        }
        const auto place = random_() % messages_.size();
        const Message message = messages_[place];
        const bool doubled = random_() % 10 == 0;
        if (!doubled) {
            messages_[place] = messages_.back();
            messages_.pop_back();
        }
        Node& node = nodes_[message.node];
        const bool lost = random_() % 10 == 0 || node.paused || node.self.boot_id != message.boot;
        if (lost) {
            return;
        }
        if (message.kind == Message::Kind::kUpdate) {
            node.state->handle(message.update);
        } else if (message.kind == Message::Kind::kSync) {
            const auto reply = node.state->handle(now(), message.sync);
            Node& requester = nodes_[message.requester];
            const bool still_there = requester.self.boot_id == message.requester_boot &&
                                     requester.state->view().epoch == message.sync.new_epoch;
            if (still_there) {
                requester.state->on_sync_reply(now(), node.self.id, reply);
            }
        } else {
            answer_claim(node, message.claimant);
        }
    }

    void answer_claim(Node& node, std::uint64_t id) {
        Claimant& claimant = claimants_[id];
        const auto reply = node.state->handle(now(), claimant.request);
        if (claimant.ended || !answered_.insert({id, node.self.id}).second) {
            return;
        }
        claimant.tally.on_reply(reply);
        if (claimant.tally.result() == ClaimResult::kWon) {
            claimant.ended = true;
            ++wins_;
            violations_ += winners_.insert(claimant.key).second ? 0 : 1;
        }
    }

    std::mt19937_64 random_;
    bool abstains_;
    long long now_ms_ = 0;
    std::uint64_t next_id_ = 1;
    std::vector<Node> nodes_;
    HolderView view_;
    std::map<std::uint64_t, Claimant> claimants_;
    std::vector<Message> messages_;
    std::set<std::pair<std::uint64_t, std::string>> answered_;
    std::set<std::string> winners_;
    unsigned wins_ = 0;
    unsigned violations_ = 0;
};

struct CheckResult {
    unsigned wins = 0;
    unsigned violations = 0;
};

CheckResult check_schedules(bool abstains, std::uint64_t seeds, int steps) {
    CheckResult result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ScheduleChecker checker(seed, abstains);
        for (int step = 0; step < steps; ++step) {
            checker.step();
        }
        result.wins += checker.wins();
        result.violations += checker.violations();
    }
    return result;
}

}  // namespace

TEST_CASE("no schedule grants a key twice") {
    const auto result = check_schedules(true, 400, 5'000);
    CHECK(result.violations == 0);
    CHECK(result.wins > 1'000);
}

TEST_CASE("the schedule checker detects the fault when restarted holders do not abstain") {
    const auto result = check_schedules(false, 400, 5'000);
    CHECK(result.violations > 0);
}
