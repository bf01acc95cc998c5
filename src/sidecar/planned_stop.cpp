#include "sidecar/planned_stop.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// Delay between the begin of a stop and the announcement to peers that this daemon is leaving.
constexpr milliseconds kLeaveAfter{2'000};
/// Additional time for callers of this machine to switch to other daemons: the platform checks readiness
/// twice, a second apart, and a request may be in flight by then. With 2 s in all, a request sent 2.01 s
/// after the stop signal was lost; 2.6 s are sufficient.
constexpr milliseconds kCallerSwitchTime{600};
/// Percentage of the grace time after which no connection is accepted, even if callers still connect.
constexpr int kAcceptPercent = 60;
/// Time without requests after which no more are expected.
constexpr milliseconds kQuietTime{150};
/// Poll interval of the requests in flight.
constexpr milliseconds kStopPoll{20};
/// Part of the grace time reserved for answering the requests that are left, and for the exit of the process.
constexpr milliseconds kStopMargin{400};
/// Time for writing the answers to the requests that are left.
constexpr milliseconds kAnswerTime{100};
/// Maximum lines about requests that are cut, at each of the places where they are counted.
constexpr std::size_t kMaxCutLines = 100;

bool is_busy(const StopParts& parts) {
    return parts.calls.requests_in_flight() > 0 || parts.hops.requests_in_flight() > 0 ||
           parts.gate.in_flight() > 0;
}

/// Waits until no request has been in flight for `kQuietTime`, or until `latest`. No other fiber runs between
/// the last check and the return.
void wait_until_quiet(const StopParts& parts, TimePoint latest) {
    auto quiet_since = TimePoint::clock::now();
    auto now = quiet_since;
    while (now - quiet_since < kQuietTime && now < latest) {
        boost::this_fiber::sleep_for(kStopPoll);
        now = TimePoint::clock::now();
        quiet_since = is_busy(parts) ? now : quiet_since;
    }
}

/// Waits until no request is in flight, or until `latest`. No other fiber runs between the last check and the
/// return.
void wait_while_busy(const StopParts& parts, TimePoint latest) {
    while (is_busy(parts) && TimePoint::clock::now() < latest) {
        boost::this_fiber::sleep_for(kStopPoll);
    }
}

void log_cut(std::string_view place, const OpenRequests& requests) {
    std::size_t lines = 0;
    for (const auto& it : requests) {
        if (++lines > kMaxCutLines) {
            return;
        }
        log_event(Event::kRequestCut, {{"place", std::string(place)},
                                       {"request_id", it.id},
                                       {"service", it.service},
                                       {"server", it.server},
                                       {"sent", it.is_sent ? "yes" : "no"},
                                       {"elapsed_ms", std::to_string(to_milliseconds(it.elapsed))}});
    }
}

/// Ends the requests that are left, which can't be completed before the process ends. Callers of requests of
/// which nothing has been sent to a server are told so.
void end_requests(const StopParts& parts) {
    const auto now = TimePoint::clock::now();
    log_cut("ingress", parts.ingress.attempts().open_requests(now));
    log_cut("gate", parts.gate.open_requests(now));
    parts.context.stop.end_requests();
    parts.gate.refuse_waiting();
    parts.ingress.attempts().end_requests();
}

void log_stopped(const StopParts& parts, TimePoint began) {
    const auto now = TimePoint::clock::now();
    log_event(Event::kStopped, {{"in_flight", std::to_string(parts.calls.requests_in_flight())},
                                {"hops", std::to_string(parts.hops.requests_in_flight())},
                                {"at_gate", std::to_string(parts.gate.in_flight())},
                                {"taken_ms", std::to_string(to_milliseconds(now - began))}});
}

}  // namespace

void run_planned_stop(const StopParts& parts, const std::string& reason) {
    const auto grace = parts.context.settings.stop_grace;
    log_event(Event::kStopping, {{"reason", reason},
                                 {"in_flight", std::to_string(parts.calls.requests_in_flight())},
                                 {"hops", std::to_string(parts.hops.requests_in_flight())},
                                 {"at_gate", std::to_string(parts.gate.in_flight())},
                                 {"grace_ms", std::to_string(to_milliseconds(grace))}});
    const auto began = TimePoint::clock::now();
    const auto grace_ends = began + grace - kStopMargin;
    const auto leave_after = std::min<Duration>(kLeaveAfter, grace / 3);
    const auto switch_time = std::min<Duration>(kCallerSwitchTime, grace / 10);
    parts.context.stop.begin({began + leave_after + switch_time, grace_ends});
    parts.calls.begin_closing();
    boost::this_fiber::sleep_for(leave_after);
    parts.context.stop.leave();
    parts.peers.announce();
    parts.hops.begin_closing();
    boost::this_fiber::sleep_for(switch_time);
    wait_until_quiet(parts, began + grace * kAcceptPercent / 100);
    // A request may have been read since the wait ended: no new ones are accepted from here on, and those
    // already read are completed.
    parts.calls.stop_accepting();
    parts.hops.stop_accepting();
    parts.calls.close_idle();
    parts.hops.close_idle();
    wait_until_quiet(parts, grace_ends);
    if (is_busy(parts)) {
        end_requests(parts);
        wait_while_busy(parts, grace_ends + kAnswerTime);
    }
    // No other fiber runs from here to the exit: it could begin a request, which the exit would cut.
    log_stopped(parts, began);
}

}  // namespace anisehold::sidecar
