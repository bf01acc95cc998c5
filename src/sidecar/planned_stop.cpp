#include "sidecar/planned_stop.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// When peers are asked to send nothing more, after a stop began. Chosen, not measured.
constexpr milliseconds kLeaveAfter{2'000};
/// How much longer callers of this machine may take to turn to others: the platform asks for readiness each
/// second, twice, and a request may be under way by then. With 2 s in all a request that was sent 2.01 s
/// after the stop's signal was lost; 2.6 s cover it.
constexpr milliseconds kTurnAway{600};
/// Part of the grace time after which no connection is accepted, even if callers still come. Chosen, not
/// measured.
constexpr int kAcceptPercent = 60;
/// No request for that long: nobody comes any more. Chosen, not measured.
constexpr milliseconds kQuietTime{150};
/// Between two looks at what is in progress. Chosen, not measured.
constexpr milliseconds kStopPoll{20};
/// Part of the grace time that is kept for the end itself. Chosen, not measured.
constexpr milliseconds kStopMargin{400};

bool is_busy(const StopParts& parts) {
    return parts.calls.requests_in_flight() > 0 || parts.hops.requests_in_flight() > 0 ||
           parts.gate.in_flight() > 0;
}

/// Waits until no request was in progress for a while, or `latest` has come.
void wait_until_quiet(const StopParts& parts, TimePoint latest) {
    auto quiet_since = TimePoint::clock::now();
    auto now = quiet_since;
    while (now - quiet_since < kQuietTime && now < latest) {
        boost::this_fiber::sleep_for(kStopPoll);
        now = TimePoint::clock::now();
        quiet_since = is_busy(parts) ? now : quiet_since;
    }
}

}  // namespace

void stop_as_planned(const StopParts& parts) {
    const auto grace = parts.context.settings.stop_grace;
    log_event(Event::kStopping, {{"in_flight", std::to_string(parts.calls.requests_in_flight())}});
    parts.context.stop.begin();
    parts.calls.begin_closing();
    const auto began = TimePoint::clock::now();
    const auto grace_ends = began + grace - kStopMargin;
    boost::this_fiber::sleep_for(std::min<Duration>(kLeaveAfter, grace / 3));
    parts.context.stop.leave();
    parts.peers.announce();
    parts.hops.begin_closing();
    boost::this_fiber::sleep_for(std::min<Duration>(kTurnAway, grace / 10));
    wait_until_quiet(parts, began + grace * kAcceptPercent / 100);
    // A request may have been read since: no new one is now, and those that were are seen to their end.
    parts.calls.stop_accepting();
    parts.hops.stop_accepting();
    parts.calls.close_idle();
    parts.hops.close_idle();
    wait_until_quiet(parts, grace_ends);
    boost::this_fiber::sleep_for(kStopPoll);
    log_event(Event::kStopped, {{"in_flight", std::to_string(parts.calls.requests_in_flight())}});
}

}  // namespace anisehold::sidecar
