#include "sidecar/registration_keeper.hpp"

#include <boost/fiber/operations.hpp>
#include <string>

#include "observability/events.hpp"
#include "sidecar/member_listing.hpp"
#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {
namespace {

using discovery::registrationPeriod;
using observability::Event;
using observability::log_event;
using store::CallOutcome;
using store::ReadMode;

/// Maximum pause between retries; with jitter, registrations are restored within 2 s of the store's return.
constexpr milliseconds kMaxRetryPause{1'200};
/// Share of a period over which it is spread, so that daemons that started together don't write at the same
/// time.
constexpr double kPeriodSpread = 0.2;

}  // namespace

void RegistrationKeeper::run() {
    unsigned failures = 0;
    auto step = Step::kCheck;
    while (!context_.stop.has_begun()) {
        const auto next = execute(step);
        if (!next) {
            link_.pause(failures++, kMaxRetryPause);
            continue;
        }
        failures = 0;
        step = *next;
        if (step == Step::kWait) {
            const std::chrono::duration<double> period =
                registrationPeriod * (1 - kPeriodSpread / 2 + kPeriodSpread * context_.random_unit());
            boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(period));
            step = Step::kWrite;
        }
    }
}

std::optional<RegistrationKeeper::Step> RegistrationKeeper::execute(Step step) {
    if (step == Step::kWrite) {
        return register_self() ? std::optional(Step::kList) : std::nullopt;
    }
    const bool checking = step == Step::kCheck;
    const auto mode = checking ? ReadMode::kMayBeStale : ReadMode::kLatest;
    const auto members = list_members(context_, link_, crashes_, mode);
    if (!members) {
        return std::nullopt;
    }
    const bool own_listed = add_members(*members);
    return checking && !own_listed ? Step::kWrite : Step::kWait;
}

bool RegistrationKeeper::register_self() {
    const auto written = link_.store().write(
        {{member_key(context_.settings.name), context_.settings.advertised_gossip.text()}},
        store_call_deadline());
    return link_.record_outcome(written.outcome, "register") && written.outcome == CallOutcome::kDone;
}

bool RegistrationKeeper::add_members(const std::vector<store::StoreItem>& members) {
    const auto now = TimePoint::clock::now();
    const auto own_key = member_key(context_.settings.name);
    const auto own_address = context_.settings.advertised_gossip.text();
    bool own_listed = false;
    std::vector<discovery::Registration> listing;
    for (const auto& item : members) {
        listing.push_back({item.key, item.revision});
        own_listed = own_listed || (item.key == own_key && item.value == own_address);
        if (const auto gossip = parse_endpoint(item.value)) {
            directory_.on_address(now, {item.key.substr(kMemberPrefix.size()), *gossip});
        }
    }
    context_.store.on_listed();
    peers_found_();
    remove_abandoned(listing);
    return own_listed;
}

void RegistrationKeeper::remove_abandoned(const std::vector<discovery::Registration>& listing) {
    const auto abandoned = discovery::findAbandoned(ages_, TimePoint::clock::now(), listing);
    // One daemon's removal is sufficient. The revision protects a registration that was written in the
    // meantime.
    if (!context_.store.is_appointed()) {
        return;
    }
    for (const auto& registration : abandoned) {
        const auto removed =
            link_.store().remove(registration.key, registration.revision, store_call_deadline());
        log_event(
            Event::kRegistrationAbandoned,
            {{"key", registration.key}, {"outcome", std::string(store::call_outcome_name(removed.outcome))}});
    }
}

}  // namespace anisehold::sidecar
