#include "sidecar/gate_reservations.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using hop::HopOutcome;
using reservation::ReserveDecision;
using reservation::ReserveVerdict;

/// A request that has arrived for its grant waits for a slot at least this long: it has precedence, and a
/// refusal would cost another round trip.
constexpr milliseconds kMinCommitWait{100};
/// Minimum pause between two checks for expired reservations.
constexpr milliseconds kMinExpiryPause{5};
/// Minimum time between two log lines on expired reservations of a server.
constexpr seconds kExpiryLogInterval{1};

admission::GateCall gate_call_of(GateServer& server, const ReservationMessage& message, TimePoint now) {
    admission::GateCall call;
    call.id = message.run;
    call.priority = message.call.priority;
    call.root_started = now;
    call.deadline = now + message.call.remaining;
    call.latest_start = now + message.call.max_wait;
    if (message.orders_by_root) {
        set_root_order(server, now, message.call, call);
    }
    return call;
}

void wake_admitted(GateServer& server, const std::vector<std::uint64_t>& admitted) {
    for (const auto run : admitted) {
        wake(server, run, true);
    }
    release_by_rate(server);
}

/// Numbers of expired reservations that have not been logged.
struct ExpiryLines {
    TimePoint next;
    unsigned grants = 0;
    unsigned places = 0;

    void write(TimePoint now, const std::string& server) {
        if (now < next || grants + places == 0) {
            return;
        }
        observability::log_event(
            observability::Event::kReservationExpired,
            {{"server", server}, {"grants", std::to_string(grants)}, {"places", std::to_string(places)}});
        *this = {now + kExpiryLogInterval, 0, 0};
    }
};

void count_expired(observability::Metrics& metrics, const reservation::Ended& ended) {
    for (unsigned n = 0; n < ended.grants + ended.places; ++n) {
        metrics.count_reservation("expired");
    }
}

/// Ends reservations whose time is up, as long as there are any.
void end_expired(GateServer& server, observability::Metrics& metrics, const std::string& instance) {
    ExpiryLines lines;
    auto next = reservation::nextExpiry(server.reservations);
    while (!server.reservations.places.empty()) {
        const auto now = TimePoint::clock::now();
        // Without an expiry all places are awaited; each has an expiry within the reply delay.
        const auto due = next.value_or(now + reservation::maxReplyDelay);
        boost::this_fiber::sleep_for(std::max<Duration>(due - now, kMinExpiryPause));
        const auto woken = TimePoint::clock::now();
        const auto ended = reservation::expire(server.gate, server.reservations, woken);
        wake_admitted(server, ended.admitted);
        count_expired(metrics, ended);
        lines.grants += ended.grants;
        lines.places += ended.places;
        lines.write(woken, instance);
        next = reservation::nextExpiry(server.reservations);
    }
    lines.write(TimePoint::max() - kExpiryLogInterval, instance);
}

void watch_expiry(GateServer& server, observability::Metrics& metrics, const std::string& instance) {
    if (server.is_expiring || server.reservations.places.empty()) {
        return;
    }
    server.is_expiring = true;
    net::EventLoop::spawn([kept = server.shared_from_this(), &metrics, instance] {
        end_expired(*kept, metrics, instance);
        kept->is_expiring = false;
    });
}

/// The reply to a granted reservation; a refusal if the grant has ended meanwhile, e.g. during a pause of
/// this process.
GateAnswer granted(const GateServer& server, std::uint64_t number, TimePoint now) {
    const auto found = server.reservations.places.find(number);
    const bool is_valid =
        found != server.reservations.places.end() && found->second.isGranted && now < found->second.endsAt;
    if (!is_valid) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout);
    }
    auto answer = make_failure(HopOutcome::kGranted, ErrorKind::kQueueTimeout);
    answer.result.grant = number;
    answer.result.grant_time = milliseconds(to_milliseconds(found->second.endsAt - now));
    return answer;
}

/// Waits until the reservation is decided, or until the reply is due. Blocks the fiber.
GateAnswer wait_for_grant(GateServer& server, const ReservationMessage& message,
                          const ReserveDecision& decision) {
    const auto waiter = std::make_shared<GateWaiter>();
    server.waiters[decision.run] = waiter;
    release_by_rate(server);
    const auto is_cancelled = [&] { return message.cancel != nullptr && message.cancel->cancelled(); };
    {
        const net::CancelSubscription subscription(message.cancel, [waiter] { waiter->decided.set(); });
        if (!is_cancelled()) {
            const auto reply_at = TimePoint::clock::now() + reservation::maxReplyDelay;
            waiter->decided.wait_until(std::min<TimePoint>(reply_at, decision.waitEnds));
        }
    }
    server.waiters.erase(decision.run);
    const auto now = TimePoint::clock::now();
    if (is_cancelled()) {
        withdraw_reservation(server, decision.number);
        message.metrics.count_reservation("withdrawn");
        return make_failure(HopOutcome::kNotSent, ErrorKind::kCancelled);
    }
    if (waiter->admitted) {
        return granted(server, decision.number, now);
    }
    // A place that is gone was given to a call with precedence.
    if (now >= decision.waitEnds || !server.reservations.places.contains(decision.number)) {
        withdraw_reservation(server, decision.number);
        return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, decision.retryAfter);
    }
    reservation::onReplied(server.reservations, now, decision.number);
    auto answer = make_failure(HopOutcome::kWaiting, ErrorKind::kQueueTimeout, decision.retryAfter);
    answer.result.ticket = decision.number;
    return answer;
}

}  // namespace

GateAnswer reserve_slot(GateServer& server, const ReservationMessage& message) {
    const auto now = TimePoint::clock::now();
    const auto decision =
        message.call.ticket != 0
            ? reservation::renew(server.reservations, now, message.call.ticket)
            : reservation::reserve(server.gate, server.reservations, now, gate_call_of(server, message, now),
                                   [&] { return message.random(); });
    if (decision.evicted) {
        wake(server, *decision.evicted, false);
    }
    watch_expiry(server, message.metrics, message.call.instance);
    switch (decision.verdict) {
        case ReserveVerdict::granted:
            return granted(server, decision.number, now);
        case ReserveVerdict::waiting:
            return wait_for_grant(server, message, decision);
        case ReserveVerdict::refused:
            return make_failure(HopOutcome::kNotSent, ErrorKind::kOverloaded, decision.retryAfter);
        case ReserveVerdict::unknown:
            break;
    }
    return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout);
}

std::optional<GateAnswer> take_granted_slot(GateServer& server, const GateRun& run) {
    const auto now = TimePoint::clock::now();
    const auto verdict = reservation::commit(server.gate, server.reservations, now, run.call.grant, run.id);
    if (!verdict) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout);
    }
    if (*verdict == admission::CommitVerdict::kRuns) {
        return std::nullopt;
    }
    const auto waiter = std::make_shared<GateWaiter>();
    server.waiters[run.id] = waiter;
    {
        const net::CancelSubscription subscription(run.cancel, [waiter] { waiter->decided.set(); });
        if (!run.is_cancelled()) {
            const auto wait_ends = now + std::max(run.call.max_wait, kMinCommitWait);
            waiter->decided.wait_until(std::min<TimePoint>(wait_ends, run.deadline));
        }
    }
    server.waiters.erase(run.id);
    if (waiter->admitted) {
        return std::nullopt;
    }
    wake_admitted(server, server.gate.free_reserved(TimePoint::clock::now(), run.id));
    return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, server.latency);
}

void withdraw_reservation(GateServer& server, std::uint64_t number) {
    const auto ended =
        reservation::withdraw(server.gate, server.reservations, TimePoint::clock::now(), number);
    wake_admitted(server, ended.admitted);
}

}  // namespace anisehold::sidecar
