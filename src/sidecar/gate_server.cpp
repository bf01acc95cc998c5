#include "sidecar/gate_server.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cmath>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using hop::HopOutcome;

/// Weight (0 to 1) of a new result in the failure share.
constexpr double kFailureSampleWeight = 0.1;
constexpr double kPercent = 100;
/// Minimum pause between releases; timers have no finer resolution.
constexpr milliseconds kMinReleasePause{1};

}  // namespace

void wake(GateServer& server, std::uint64_t run, bool admitted) {
    if (admitted) {
        reservation::onAdmitted(server.reservations, TimePoint::clock::now(), run);
    } else {
        reservation::onEvicted(server.reservations, run);
    }
    const auto found = server.waiters.find(run);
    if (found != server.waiters.end()) {
        found->second->admitted = admitted;
        found->second->decided.set();
    }
}

void refuse_waiting(GateServer& server) {
    // Waking only makes fibers ready, so that no waiter is removed meanwhile.
    for (const auto& [run, waiter] : server.waiters) {
        if (!waiter->decided.is_set()) {
            wake(server, run, false);
        }
    }
}

void set_root_order(GateServer& server, TimePoint now, const hop::HopRequest& call,
                    admission::GateCall& gate_call) {
    if (call.root_priority) {
        attribution::recordKnownRoot(server.root_ranks, now, call.row, *call.root_priority);
    }
    gate_call.root_priority = call.root_priority.value_or(
        attribution::rankOfUnknownRoot(server.root_ranks, now, call.row, call.priority));
    gate_call.calls_made = call.made;
}

void release_by_rate(GateServer& server) {
    if (server.is_releasing || !server.gate.next_release(TimePoint::clock::now())) {
        return;
    }
    server.is_releasing = true;
    net::EventLoop::spawn([kept = server.shared_from_this()] {
        auto next = kept->gate.next_release(TimePoint::clock::now());
        while (next) {
            const auto pause = std::max<Duration>(*next - TimePoint::clock::now(), kMinReleasePause);
            boost::this_fiber::sleep_for(pause);
            const auto now = TimePoint::clock::now();
            release_waiting(*kept, now);
            next = kept->gate.next_release(now);
        }
        kept->is_releasing = false;
    });
}

void release_waiting(GateServer& server, TimePoint now) {
    for (const auto admitted : server.gate.release(now)) {
        wake(server, admitted, true);
    }
}

std::optional<GateAnswer> wait_for_slot(GateServer& server, const GateRun& run) {
    const auto now = TimePoint::clock::now();
    admission::GateCall gate_call;
    gate_call.id = run.id;
    gate_call.priority = run.call.priority;
    gate_call.root_started = now;
    gate_call.deadline = run.deadline;
    gate_call.latest_start = now + run.call.max_wait;
    if (run.orders_by_root) {
        set_root_order(server, now, run.call, gate_call);
    }
    const auto decision = server.gate.arrive(now, gate_call);
    if (decision.evicted) {
        wake(server, *decision.evicted, false);
    }
    if (decision.verdict == admission::GateVerdict::kAdmitted) {
        return std::nullopt;
    }
    if (decision.verdict == admission::GateVerdict::kRefused) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kOverloaded, decision.retry_after);
    }
    const auto waiter = std::make_shared<GateWaiter>();
    server.waiters[run.id] = waiter;
    release_by_rate(server);
    {
        const net::CancelSubscription subscription(run.cancel, [waiter] { waiter->decided.set(); });
        if (!run.is_cancelled()) {
            waiter->decided.wait_until(std::min<TimePoint>(decision.give_up_at, now + run.call.max_wait));
        }
    }
    server.waiters.erase(run.id);
    if (waiter->admitted) {
        return std::nullopt;
    }
    server.gate.abandon(run.id);
    return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, decision.retry_after);
}

void free_slot(GateServer& server, TimePoint now, std::uint64_t run, admission::SampleOutcome sample) {
    for (const auto admitted : server.gate.finish(now, run, sample, Duration::zero())) {
        wake(server, admitted, true);
    }
    release_by_rate(server);
}

void record_end(GateServer& server, TimePoint started, TimePoint now, const GateAnswer& answer,
                bool cancelled) {
    const auto elapsed = now - started;
    const bool good = is_good_answer(answer);
    // Failures are excluded because they may be faster than any work. A canceled request took at least the
    // elapsed time.
    if (good || (cancelled && speed::usualTime(server.speed, now, elapsed) > server.latency)) {
        speed::learnTime(server.speed, now, elapsed, server.latency);
    }
    const auto& result = answer.result;
    const bool refused_at_gate =
        result.outcome == HopOutcome::kNotSent && result.error != ErrorKind::kConnectFailed;
    // A failure caused by a downstream overload says nothing about this server. The share of arrivals that it
    // declines whatever its load is reported separately.
    if (cancelled || refused_at_gate || !result.overloaded_service.empty() || is_declined(answer)) {
        return;
    }
    selection::recordResult(server.failures, now, !good, kFailureSampleWeight);
}

void log_decline_change(const std::string& instance, const GateServer& server, TimePoint now,
                        admission::DeclineChange change) {
    if (change == admission::DeclineChange::kNone) {
        return;
    }
    observability::log_event(observability::Event::kServerDeclining,
                             {{"server", instance},
                              {"state", change == admission::DeclineChange::kBegan ? "begin" : "end"},
                              {"share", std::to_string(admission::current_declined(server.declined, now))}});
}

void record_in_flight(GateServer& server, TimePoint now) {
    overload::recordValue(server.running, now, server.gate.load().in_flight);
}

void fill_load(const GateServer& server, hop::HopResult& result) {
    const auto load = server.gate.load();
    const auto now = TimePoint::clock::now();
    result.in_flight = load.in_flight;
    result.queued = load.queued;
    result.limit = server.gate.usable_limit(now);
    result.rate_limit = server.gate.rate().limit();
    result.declined_percent = admission::declined_percent(server.declined, now);
    result.failed_percent = static_cast<unsigned>(kPercent * selection::currentShare(server.failures, now));
    result.latency_us =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::microseconds>(server.latency).count());
    result.slow_percent = speed::slowPercent(server.speed, now);
}

unsigned busy_percent(const GateServer& server, TimePoint now) {
    const double busy =
        overload::currentMean(server.running, now) / std::max(1U, server.gate.usable_limit(now));
    return static_cast<unsigned>(std::lround(busy * kPercent));
}

}  // namespace anisehold::sidecar
