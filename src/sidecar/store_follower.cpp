#include "sidecar/store_follower.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using store::CallOutcome;

constexpr const char* kMemberPrefix = "anisehold/members/";
constexpr milliseconds kCallTimeout{1'500};
constexpr milliseconds kLongestWatch{25'000};
constexpr milliseconds kLeaseLifetime{60'000};
constexpr milliseconds kRenewPeriod{20'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kLongestPause{1'500};

TimePoint call_deadline() {
    return TimePoint::clock::now() + kCallTimeout;
}

}  // namespace

void StoreFollower::start(PeersFound peers_found) {
    peers_found_ = std::move(peers_found);
    net::EventLoop::spawn([this] { follow_configuration(); });
    net::EventLoop::spawn([this] { keep_registered(); });
}

bool StoreFollower::note(CallOutcome outcome, const char* purpose) {
    const bool served = outcome != CallOutcome::kRefused && outcome != CallOutcome::kUnknown;
    if (served != reachable_) {
        reachable_ = served;
        log_event(served ? Event::kStoreReachable : Event::kStoreUnreachable,
                  {{"call", purpose}, {"outcome", std::string(store::call_outcome_name(outcome))}});
    }
    return served;
}

void StoreFollower::pause(unsigned failures) {
    constexpr unsigned most_doublings = 4;
    const auto longest = std::min(kLongestPause, kFirstPause * (1U << std::min(failures, most_doublings)));
    const auto jittered = std::chrono::duration_cast<Duration>(longest * (0.5 + context_.random_unit()));
    boost::this_fiber::sleep_for(jittered);
}

std::uint64_t StoreFollower::read_configuration() {
    const auto reply = store_.read(context_.dialect.configuration_key(), call_deadline());
    if (!note(reply.outcome, "read configuration")) {
        return 0;
    }
    if (reply.outcome == CallOutcome::kDone) {
        configuration_.offer(reply.item.value, ConfigurationSource::kStore);
    }
    return reply.store_revision;
}

void StoreFollower::follow_configuration() {
    std::uint64_t watch_from = 0;
    unsigned failures = 0;
    while (true) {
        if (watch_from == 0) {
            watch_from = read_configuration();
        } else {
            const auto reply = store_.watch(context_.dialect.configuration_key(), watch_from, kLongestWatch);
            note(reply.outcome, "watch configuration");
            for (const auto& item : reply.changed) {
                if (item.key == context_.dialect.configuration_key()) {
                    configuration_.offer(item.value, ConfigurationSource::kStore);
                }
            }
            // A cut watch, or lost history: what was missed is read whole.
            watch_from = reply.outcome == CallOutcome::kDone ? reply.store_revision : 0;
        }
        if (watch_from != 0) {
            failures = 0;
        } else {
            pause(failures++);
        }
    }
}

bool StoreFollower::register_self() {
    const auto opened = store_.open_lease(kLeaseLifetime, call_deadline());
    if (!note(opened.outcome, "open lease") || opened.outcome != CallOutcome::kDone) {
        return false;
    }
    const auto& settings = context_.settings;
    const auto written = store_.write(kMemberPrefix + settings.name, settings.advertised_gossip.text(),
                                      opened.lease, call_deadline());
    if (!note(written.outcome, "register") || written.outcome != CallOutcome::kDone) {
        return false;
    }
    lease_ = opened.lease;
    return true;
}

bool StoreFollower::list_peers() {
    std::string after;
    bool more = true;
    while (more) {
        const auto page = store_.list(kMemberPrefix, after, call_deadline());
        if (!note(page.outcome, "list peers") || page.outcome != CallOutcome::kDone) {
            return false;
        }
        const auto now = TimePoint::clock::now();
        for (const auto& item : page.items) {
            const auto gossip = parse_endpoint(item.value);
            if (gossip) {
                directory_.on_address(now, {item.key.substr(std::string(kMemberPrefix).size()), *gossip});
            }
            after = item.key;
        }
        more = page.more && !page.items.empty();
    }
    has_listed_ = true;
    peers_found_();
    return true;
}

void StoreFollower::keep_registered() {
    unsigned failures = 0;
    while (!context_.stopping) {
        // Registering comes first: of two daemons that start together, the later reader sees the other.
        if (lease_ == 0 && !register_self()) {
            pause(failures++);
            continue;
        }
        if (!has_listed_ && !list_peers()) {
            pause(failures++);
            continue;
        }
        failures = 0;
        boost::this_fiber::sleep_for(kRenewPeriod);
        const auto renewed = store_.renew_lease(lease_, call_deadline());
        note(renewed.outcome, "renew lease");
        if (renewed.outcome == CallOutcome::kNotFound) {
            log_event(Event::kRegistrationLost, {{"lease", std::to_string(lease_)}});
            lease_ = 0;
        }
    }
}

}  // namespace anisehold::sidecar
