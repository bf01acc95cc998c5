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

/// Each watch is a priced call. A store that falls silent under it is noticed by the connection's probes.
/// Chosen, not measured.
constexpr milliseconds kLongestWatch{25'000};
/// Peers answer the first record of a new process within this time: before, it can't rank its zone.
constexpr milliseconds kSettleTime{300};
/// How often a daemon that doesn't watch reviews that. Chosen, not measured.
constexpr milliseconds kReviewPeriod{500};
/// A first read is tried again as often as a registration (registration_keeper.cpp).
constexpr milliseconds kLongestReadPause{1'200};
/// A watch can wait longer: another zone's watcher is served sooner, or the store serves nobody.
constexpr milliseconds kLongestWatchPause{3'000};

}  // namespace

void ConfigurationWatch::take_first() {
    // An old version is enough to begin with: the watchers' records name a newer one at once. Where the store
    // has none yet, they name the first. Keyed requests need more: a daemon that reads the latest one serves
    // them a second sooner than one that waits for a peer's proof.
    const auto mode = proofs_.longest_age() ? ReadMode::kLatest : ReadMode::kMayBeStale;
    unsigned failures = 0;
    while (configuration_.version() == 0 && read(mode) == 0) {
        link_.pause(failures++, kLongestReadPause);
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
        if (review_role() == WatchRole::none) {
            watch_from = 0;
            context_.store.on_watch(false);
            boost::this_fiber::sleep_for(kReviewPeriod);
            continue;
        }
        watch_from = follow_once(watch_from);
        context_.store.on_watch(watch_from != 0);
        if (watch_from != 0) {
            failures = 0;
            continue;
        }
        if (state_.role == WatchRole::standIn) {
            discovery::recordFailedAttempt(state_, TimePoint::clock::now());
        }
        link_.pause(failures++, kLongestWatchPause);
    }
}

WatchRole ConfigurationWatch::review_role() {
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

std::uint64_t ConfigurationWatch::follow_once(std::uint64_t watch_from) {
    return watch_from == 0 ? read(ReadMode::kLatest) : watch(watch_from);
}

std::uint64_t ConfigurationWatch::read(ReadMode mode) {
    const auto asked = TimePoint::clock::now();
    const auto reply = link_.store().read(context_.dialect.configuration_key(), mode, store_call_deadline());
    if (!link_.note(reply.outcome, "read configuration")) {
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
    const auto reply = link_.store().watch(context_.dialect.configuration_key(), watch_from, kLongestWatch);
    link_.note(reply.outcome, "watch configuration");
    StoreLink::note_unreadable(reply.unreadable, "watch configuration");
    for (const auto& item : reply.changed) {
        if (item.key == context_.dialect.configuration_key()) {
            configuration_.offer(item.value, ConfigurationSource::kStore);
        }
    }
    // After a cut watch, or lost history, what was missed is read whole.
    return reply.outcome == CallOutcome::kDone ? reply.store_revision : 0;
}

}  // namespace anisehold::sidecar
