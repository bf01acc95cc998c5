#include "sidecar/store_follower.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <iterator>
#include <map>
#include <set>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {
namespace {

using discovery::registrationPeriod;
using discovery::WatchRole;
using observability::Event;
using observability::log_event;
using store::CallOutcome;
using store::ReadMode;

/// All that the daemons keep lies below it.
constexpr const char* kOwnPrefix = "anisehold/";
constexpr const char* kMemberPrefix = "anisehold/members/";
/// Each watch is a priced call. A store that falls silent under it is noticed by the connection's probes.
constexpr milliseconds kLongestWatch{25'000};
/// Peers answer the first record of a new process within this time: before, it can't rank its zone.
constexpr milliseconds kSettleTime{300};
/// How often a daemon that doesn't watch reviews that.
constexpr milliseconds kReviewPeriod{500};
constexpr milliseconds kFirstPause{100};
/// With its jitter this puts a registration back within two seconds of the store's return.
constexpr milliseconds kLongestRegistrationPause{1'200};
/// A watch can wait longer: another zone's watcher is served sooner, or the store serves nobody.
constexpr milliseconds kLongestWatchPause{3'000};

}  // namespace

void StoreFollower::start(PeersFound peers_found) {
    peers_found_ = std::move(peers_found);
    net::EventLoop::spawn([this] { take_first_configuration(); });
    net::EventLoop::spawn([this] { follow_configuration(); });
    net::EventLoop::spawn([this] { keep_registered(); });
    net::EventLoop::spawn([this] { keep_zone_registered(); });
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

void StoreFollower::note_unreadable(std::size_t count, const char* purpose) {
    if (count > 0) {
        log_event(Event::kStoreItemsRefused, {{"call", purpose}, {"count", std::to_string(count)}});
    }
}

void StoreFollower::pause(unsigned failures, milliseconds at_most) {
    constexpr unsigned most_doublings = 5;
    const auto longest = std::min(at_most, kFirstPause * (1U << std::min(failures, most_doublings)));
    const auto jittered = std::chrono::duration_cast<Duration>(longest * (0.5 + context_.random_unit()));
    boost::this_fiber::sleep_for(jittered);
}

std::uint64_t StoreFollower::read_configuration(ReadMode mode) {
    const auto asked = TimePoint::clock::now();
    const auto reply = store_.read(context_.dialect.configuration_key(), mode, store_call_deadline());
    if (!note(reply.outcome, "read configuration")) {
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

void StoreFollower::take_first_configuration() {
    // An old version is enough to begin with: the watchers' records tell of a newer one at once. Where the
    // store has none yet, they tell of the first. Keyed requests need more: a daemon that reads the latest
    // one serves them a second sooner than one that waits for a peer's proof.
    const auto mode = proofs_.longest_age() ? ReadMode::kLatest : ReadMode::kMayBeStale;
    unsigned failures = 0;
    while (configuration_.version() == 0 && read_configuration(mode) == 0) {
        pause(failures++, kLongestRegistrationPause);
    }
}

std::uint64_t StoreFollower::watch_configuration(std::uint64_t watch_from) {
    const auto reply = store_.watch(context_.dialect.configuration_key(), watch_from, kLongestWatch);
    note(reply.outcome, "watch configuration");
    note_unreadable(reply.unreadable, "watch configuration");
    for (const auto& item : reply.changed) {
        if (item.key == context_.dialect.configuration_key()) {
            configuration_.offer(item.value, ConfigurationSource::kStore);
        }
    }
    // After a cut watch, or lost history, what was missed is read whole.
    return reply.outcome == CallOutcome::kDone ? reply.store_revision : 0;
}

std::uint64_t StoreFollower::follow_once(std::uint64_t watch_from) {
    return watch_from == 0 ? read_configuration(ReadMode::kLatest) : watch_configuration(watch_from);
}

WatchRole StoreFollower::review_role() {
    const auto now = TimePoint::clock::now();
    discovery::WatchView view;
    view.ownName = context_.settings.name;
    for (auto& peer : directory_.near_reachable(now)) {
        view.zonePeers.push_back(std::move(peer.name));
    }
    view.knownPeers = directory_.known_count();
    view.peerWatches = directory_.any_near_watches(now);
    const auto before = watch_.role;
    const auto role = discovery::reviewRole(watch_, now, view, [this] { return context_.random_unit(); });
    if (role != before) {
        log_event(Event::kWatchRoleChanged, {{"role", std::string(discovery::roleName(role))},
                                             {"before", std::string(discovery::roleName(before))},
                                             {"zone_peers", std::to_string(view.zonePeers.size())},
                                             {"peer_watches", view.peerWatches ? "yes" : "no"}});
    }
    return role;
}

void StoreFollower::follow_configuration() {
    while (!has_listed_) {
        boost::this_fiber::sleep_for(kReviewPeriod);
    }
    boost::this_fiber::sleep_for(kSettleTime);
    std::uint64_t watch_from = 0;
    unsigned failures = 0;
    while (true) {
        if (review_role() == WatchRole::none) {
            watch_from = 0;
            context_.watches_store = false;
            boost::this_fiber::sleep_for(kReviewPeriod);
            continue;
        }
        watch_from = follow_once(watch_from);
        context_.watches_store = watch_from != 0;
        if (watch_from != 0) {
            failures = 0;
            continue;
        }
        if (watch_.role == WatchRole::standIn) {
            discovery::noteFailedTry(watch_, TimePoint::clock::now());
        }
        pause(failures++, kLongestWatchPause);
    }
}

void StoreFollower::keep_zone_registered() {
    while (!context_.stopping) {
        const auto members = static_cast<long long>(directory_.known_count());
        boost::this_fiber::sleep_for(discovery::listingPeriod + members * discovery::listingPeriodPerMember);
        if (watch_.role == WatchRole::appointed && context_.watches_store) {
            restore_missing();
        }
    }
}

void StoreFollower::restore_missing() {
    const auto members = list_members(ReadMode::kMayBeStale);
    if (!members) {
        return;
    }
    std::set<std::string> listed;
    for (const auto& item : *members) {
        listed.insert(item.key);
    }
    std::map<std::string, std::string> addresses{{own_key(), context_.settings.advertised_gossip.text()}};
    for (const auto& peer : directory_.near_reachable(TimePoint::clock::now())) {
        addresses[kMemberPrefix + peer.name] = peer.gossip.text();
    }
    std::vector<std::string> expected;
    expected.reserve(addresses.size());
    for (const auto& [key, address] : addresses) {
        expected.push_back(key);
    }
    std::vector<store::StoreItem> missing;
    for (const auto& key : discovery::takeListing(missing_, listed, expected)) {
        missing.push_back({key, addresses[key]});
    }
    // What doesn't fit is still missing at the next listing.
    missing.resize(std::min(missing.size(), store::kMostWritten));
    if (missing.empty()) {
        return;
    }
    const auto written = store_.write(missing, store_call_deadline());
    log_event(Event::kRegistrationsRestored,
              {{"count", std::to_string(missing.size())},
               {"first", missing.front().key},
               {"outcome", std::string(store::call_outcome_name(written.outcome))}});
}

std::string StoreFollower::own_key() const {
    return kMemberPrefix + context_.settings.name;
}

bool StoreFollower::register_self() {
    const auto written =
        store_.write({{own_key(), context_.settings.advertised_gossip.text()}}, store_call_deadline());
    return note(written.outcome, "register") && written.outcome == CallOutcome::kDone;
}

std::optional<std::vector<store::StoreItem>> StoreFollower::list_members(ReadMode mode) {
    std::vector<store::StoreItem> members;
    std::vector<store::StoreItem> verdicts;
    std::string after;
    bool more = true;
    while (more) {
        auto page = store_.list(kOwnPrefix, after, mode, store_call_deadline());
        if (!note(page.outcome, "list peers") || page.outcome != CallOutcome::kDone) {
            return std::nullopt;
        }
        note_unreadable(page.unreadable, "list peers");
        more = page.more && !page.items.empty();
        for (auto& item : page.items) {
            after = item.key;
            if (item.key.starts_with(kMemberPrefix)) {
                members.push_back(std::move(item));
            } else if (item.key.starts_with(kVerdictPrefix)) {
                verdicts.push_back(std::move(item));
            }
        }
    }
    crashes_.on_stored(verdicts, watch_.role == WatchRole::appointed);
    return members;
}

bool StoreFollower::take_members(const std::vector<store::StoreItem>& members) {
    const auto now = TimePoint::clock::now();
    bool own_listed = false;
    std::vector<discovery::Registration> listing;
    for (const auto& item : members) {
        listing.push_back({item.key, item.revision});
        own_listed =
            own_listed || (item.key == own_key() && item.value == context_.settings.advertised_gossip.text());
        const auto gossip = parse_endpoint(item.value);
        if (gossip) {
            directory_.on_address(now, {item.key.substr(std::string(kMemberPrefix).size()), *gossip});
        }
    }
    has_listed_ = true;
    context_.knows_fleet = true;
    peers_found_();
    remove_abandoned(listing);
    return own_listed;
}

void StoreFollower::remove_abandoned(const std::vector<discovery::Registration>& listing) {
    const auto abandoned = discovery::takeListing(ages_, TimePoint::clock::now(), listing);
    // One daemon's removal is enough, and the revision guards a registration that was written meanwhile.
    if (watch_.role != WatchRole::appointed) {
        return;
    }
    for (const auto& registration : abandoned) {
        const auto removed = store_.remove(registration.key, registration.revision, store_call_deadline());
        log_event(
            Event::kRegistrationAbandoned,
            {{"key", registration.key}, {"outcome", std::string(store::call_outcome_name(removed.outcome))}});
    }
}

void StoreFollower::keep_registered() {
    unsigned failures = 0;
    auto step = RegistrationStep::kLook;
    while (!context_.stopping) {
        const auto next = registration_step(step);
        if (!next) {
            pause(failures++, kLongestRegistrationPause);
            continue;
        }
        failures = 0;
        step = *next;
        if (step == RegistrationStep::kRest) {
            const std::chrono::duration<double> spread =
                registrationPeriod * (0.9 + 0.2 * context_.random_unit());
            boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(spread));
            step = RegistrationStep::kWrite;
        }
    }
}

std::optional<StoreFollower::RegistrationStep> StoreFollower::registration_step(RegistrationStep step) {
    if (step == RegistrationStep::kWrite) {
        return register_self() ? std::optional(RegistrationStep::kList) : std::nullopt;
    }
    const bool looking = step == RegistrationStep::kLook;
    const auto members = list_members(looking ? ReadMode::kMayBeStale : ReadMode::kLatest);
    if (!members) {
        return std::nullopt;
    }
    const bool own_listed = take_members(*members);
    return looking && !own_listed ? RegistrationStep::kWrite : RegistrationStep::kRest;
}

}  // namespace anisehold::sidecar
