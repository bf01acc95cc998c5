#include "sidecar/configuration_watch.hpp"

#include <boost/fiber/operations.hpp>
#include <string>
#include <utility>

#include "observability/events.hpp"
#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {
namespace {

using discovery::WatchRole;
using observability::Event;
using observability::log_event;
using store::CallOutcome;
using store::ReadMode;

/// Maximum duration of one watch call; each call has a cost. Keepalive probes of the connection detect a
/// store that becomes unresponsive during the call.
constexpr milliseconds kMaxWatchTime{25'000};
/// Peers reply to the first record of a new process within this time; before that, the process doesn't know
/// its rank in the zone.
constexpr milliseconds kSettleTime{300};
/// Interval at which a daemon that doesn't watch reviews its role.
constexpr milliseconds kReviewPeriod{500};
/// Maximum pause between retries of the first read; as for registrations (registration_keeper.cpp).
constexpr milliseconds kMaxReadRetryPause{1'200};
/// Maximum pause between retries of a watch. May be longer than for the first read: another watcher of the
/// zone is served earlier, or the store serves nobody.
constexpr milliseconds kMaxWatchRetryPause{3'000};

}  // namespace

void ConfigurationWatch::read_initial() {
    // A stale version is sufficient at the start, because the watchers' records announce a newer version, or
    // the first one, at once. With key proofs, the latest version is read: the daemon then serves keyed
    // requests a second earlier than with a peer's proof.
    const auto mode = proofs_.max_age() ? ReadMode::kLatest : ReadMode::kMayBeStale;
    unsigned failures = 0;
    while (configuration_.version() == 0 && read(mode) == 0) {
        link_.pause(failures++, kMaxReadRetryPause);
    }
}

void ConfigurationWatch::follow() {
    while (!context_.store.has_listed()) {
        boost::this_fiber::sleep_for(kReviewPeriod);
    }
    boost::this_fiber::sleep_for(kSettleTime);
    std::uint64_t watch_from = 0;
    unsigned failures = 0;
    while (true) {
        if (update_role() == WatchRole::none) {
            watch_from = 0;
            context_.store.on_watch(false);
            boost::this_fiber::sleep_for(kReviewPeriod);
            continue;
        }
        watch_from = read_or_watch(watch_from);
        context_.store.on_watch(watch_from != 0);
        if (watch_from != 0) {
            failures = 0;
            continue;
        }
        if (state_.role == WatchRole::standIn) {
            discovery::recordFailedAttempt(state_, TimePoint::clock::now());
        }
        link_.pause(failures++, kMaxWatchRetryPause);
    }
}

WatchRole ConfigurationWatch::update_role() {
    const auto now = TimePoint::clock::now();
    discovery::WatchView view;
    view.ownName = context_.settings.name;
    for (auto& peer : directory_.reachable_in_local_zone(now)) {
        view.zonePeers.push_back(std::move(peer.name));
    }
    view.knownPeers = directory_.known_count();
    view.hasPeerWatch = directory_.any_watch_in_local_zone(now);
    const auto before = state_.role;
    const auto role = discovery::updateRole(state_, now, view, [this] { return context_.random_unit(); });
    context_.store.on_role(role);
    if (role != before) {
        log_event(Event::kWatchRoleChanged, {{"role", std::string(discovery::roleName(role))},
                                             {"before", std::string(discovery::roleName(before))},
                                             {"zone_peers", std::to_string(view.zonePeers.size())},
                                             {"peer_watches", view.hasPeerWatch ? "yes" : "no"}});
    }
    return role;
}

std::uint64_t ConfigurationWatch::read_or_watch(std::uint64_t watch_from) {
    return watch_from == 0 ? read(ReadMode::kLatest) : watch(watch_from);
}

std::uint64_t ConfigurationWatch::read(ReadMode mode) {
    const auto asked = TimePoint::clock::now();
    const auto reply = link_.store().read(context_.dialect.configuration_key(), mode, store_call_deadline());
    if (!link_.record_outcome(reply.outcome, "read configuration")) {
        return 0;
    }
    if (reply.outcome == CallOutcome::kDone) {
        const auto offered = configuration_.offer(reply.item.value, ConfigurationSource::kStore);
        if (mode == ReadMode::kLatest && offered != OfferOutcome::kRejected) {
            proofs_.on_read(asked, reply.item.revision);
        }
    }
    return reply.store_revision;
}

std::uint64_t ConfigurationWatch::watch(std::uint64_t watch_from) {
    const auto reply = link_.store().watch(context_.dialect.configuration_key(), watch_from, kMaxWatchTime);
    link_.record_outcome(reply.outcome, "watch configuration");
    StoreLink::log_unreadable(reply.unreadable, "watch configuration");
    for (const auto& item : reply.changed) {
        if (item.key == context_.dialect.configuration_key()) {
            configuration_.offer(item.value, ConfigurationSource::kStore);
        }
    }
    // After an interrupted watch or lost history, the whole configuration is read again.
    return reply.outcome == CallOutcome::kDone ? reply.store_revision : 0;
}

}  // namespace anisehold::sidecar
