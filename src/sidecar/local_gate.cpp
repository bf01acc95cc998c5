#include "sidecar/local_gate.hpp"

#include <algorithm>
#include <cmath>

#include "admission/policy/fixed_limit.hpp"
#include "admission/policy/knee_limit.hpp"
#include "observability/events.hpp"
#include "sidecar/request_identity.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using observability::Event;
using observability::log_event;
using registration::RegistryChange;

/// Heartbeats that a server may miss before it counts as gone.
constexpr int kMissedHeartbeats = 6;
/// The same for one that was asked for its health: its next heartbeat is due within one interval.
constexpr int kMissedHeartbeatsOfFound = 2;
/// Weight of a new sample in the average latency, as a divisor.
constexpr int kLatencyDivisor = 8;
constexpr double kPercent = 100;
/// Weight of a new result in the share of failures.
constexpr double kFailureSample = 0.1;
constexpr std::size_t kMostConnections = 256;
constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kConnectionIdle{8'000};
constexpr milliseconds kSilenceInBody{60'000};

net::HttpPoolLimits pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = kMostConnections;
    limits.connect_timeout_ms = kConnectTimeout;
    limits.idle_timeout_ms = kConnectionIdle;
    limits.body_timeout_ms = kSilenceInBody;
    return limits;
}

}  // namespace

RegistryChange LocalGate::on_registration(TimePoint now, const RegistrationCall& call) {
    const auto& heartbeat = call.heartbeat;
    const auto change = call.leaves ? registry_.on_leave(now, heartbeat.instance, heartbeat.born)
                                    : registry_.on_heartbeat(now, heartbeat);
    if (change == RegistryChange::kAppeared) {
        // Nothing that was learned of an earlier start holds for this one.
        servers_.erase(heartbeat.instance);
    }
    switch (change) {
        case RegistryChange::kChanged:
            resize_gate(heartbeat);
            [[fallthrough]];
        case RegistryChange::kAppeared:
            log_event(Event::kServerRegistered, {{"server", heartbeat.instance},
                                                 {"service", heartbeat.service},
                                                 {"address", heartbeat.address.text()},
                                                 {"slots", std::to_string(heartbeat.slots)},
                                                 {"born", std::to_string(heartbeat.born.value)},
                                                 {"sequence", std::to_string(heartbeat.sequence)}});
            break;
        case RegistryChange::kDraining:
        case RegistryChange::kLeft:
            log_event(Event::kServerLeaving, {{"server", heartbeat.instance},
                                              {"service", heartbeat.service},
                                              {"sequence", std::to_string(heartbeat.sequence)}});
            break;
        case RegistryChange::kNone:
        case RegistryChange::kRefreshed:
            break;
    }
    return change;
}

void LocalGate::resize_gate(const registration::Heartbeat& heartbeat) {
    const auto found = servers_.find(heartbeat.instance);
    if (found != servers_.end()) {
        found->second->gate.set_limit(make_limit(heartbeat.slots));
    }
}

RegistryChange LocalGate::on_found(TimePoint now, const registration::Heartbeat& found) {
    const auto change = registry_.on_found(now, found);
    if (change == RegistryChange::kAppeared) {
        log_event(Event::kServerFound, {{"server", found.instance},
                                        {"service", found.service},
                                        {"address", found.address.text()},
                                        {"slots", std::to_string(found.slots)}});
    }
    return change;
}

bool LocalGate::expire(TimePoint now) {
    const auto interval = context_.settings.heartbeat_interval;
    const auto silent =
        registry_.expire(now, kMissedHeartbeats * interval, kMissedHeartbeatsOfFound * interval);
    for (const auto& instance : silent) {
        log_event(Event::kServerSilent, {{"server", instance}});
    }
    std::erase_if(servers_, [&](const auto& entry) {
        return registry_.find_ready(entry.first) == nullptr && entry.second.use_count() == 1;
    });
    return !silent.empty();
}

std::vector<membership::ServerRecord> LocalGate::records(TimePoint now) const {
    std::vector<membership::ServerRecord> records;
    for (const auto& registered : registry_.ready_servers()) {
        const auto& heartbeat = registered.heartbeat;
        membership::ServerRecord record;
        record.instance = heartbeat.instance;
        record.service = heartbeat.service;
        record.born = heartbeat.born.value;
        record.slots = heartbeat.slots;
        record.limit = heartbeat.slots;
        record.cold_ms = static_cast<unsigned>(std::max(0LL, to_milliseconds(registered.cold_until - now)));
        const auto found = servers_.find(heartbeat.instance);
        if (found != servers_.end()) {
            hop::HopResult load;
            fill_load(*found->second, load);
            record.in_flight = load.in_flight;
            record.queued = load.queued;
            record.limit = load.limit;
            record.latency_us = load.latency_us;
            record.failed_percent = load.failed_percent;
            const double busy = overload::meanOf(found->second->running, now) / std::max(1U, load.limit);
            record.busy_percent = static_cast<unsigned>(std::lround(busy * kPercent));
        }
        records.push_back(std::move(record));
    }
    return records;
}

admission::GateOptions LocalGate::gate_options() const {
    admission::GateOptions options;
    // A request makes several calls one after the other: each wait must be short.
    options.queue_per_limit = 1.5;
    options.by_priority = context_.has(Mechanism::kPriorityAdmission);
    return options;
}

std::unique_ptr<admission::ConcurrencyLimit> LocalGate::make_limit(unsigned slots) const {
    if (!context_.has(Mechanism::kGateLimit)) {
        return std::make_unique<admission::FixedLimit>(slots);
    }
    return std::make_unique<admission::KneeLimit>(slots);
}

std::shared_ptr<LocalGate::Server> LocalGate::server_for(const registration::RegisteredServer& registered) {
    const auto& heartbeat = registered.heartbeat;
    auto& server = servers_[heartbeat.instance];
    if (!server) {
        server = std::make_shared<Server>(make_limit(heartbeat.slots), context_.io, heartbeat.address,
                                          pool_limits(), gate_options());
    }
    return server;
}

GateAnswer LocalGate::run(net::HttpRequest request, const hop::HopRequest& call, net::CancelSignal* cancel,
                          net::ExchangeProgress& progress) {
    const auto arrived = TimePoint::clock::now();
    const auto deadline = arrived + call.remaining;
    const auto request_id = context_.dialect.read_client_call(request).id;
    const auto identity = identity_of(request, call.caller);
    const auto* registered = registry_.find_ready(call.instance);
    if (registered == nullptr) {
        auto answer = without_answer(HopOutcome::kNotSent, ErrorKind::kNoBackend, Duration::zero());
        answer.result.instance = call.instance;
        log(request_id, identity.digest, call, answer, arrived, Duration::zero());
        return answer;
    }
    const auto server = server_for(*registered);
    const auto id = next_id_++;
    if (++in_flight_ == 1) {
        context_.origins.on_server(arrived, true);
    }
    crashes_.on_reported_crashes(identity, call.crashes);
    std::optional<GateAnswer> refused;
    const auto turn = take_turn(*server, identity, call, arrived, cancel);
    if (crashes_.is_condemned(TimePoint::clock::now(), identity)) {
        refused = without_answer(HopOutcome::kNotSent, ErrorKind::kCrashesServers, Duration::zero());
    } else if (!turn) {
        refused = without_answer(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, server->latency);
    } else if (!context_.has(Mechanism::kConnectBackoff) ||
               connection::takeAttempt(server->backoff, arrived)) {
        refused = wait_for_admission(*server, call, id, deadline, cancel);
    } else {
        refused = without_answer(HopOutcome::kNotSent, ErrorKind::kConnectFailed, Duration::zero());
    }
    const auto started = TimePoint::clock::now();
    note_use(*server, started);
    GateAnswer answer;
    if (refused) {
        answer = std::move(*refused);
    } else {
        if (registry_.find_ready(call.instance) == nullptr) {
            answer = without_answer(HopOutcome::kNotSent, ErrorKind::kNoBackend, Duration::zero());
        } else {
            answer = run_admitted(*server, id, request, identity, call, deadline, cancel, progress);
        }
        mark_overload_below(started, answer);
        finish(*server, id, call.instance, started, answer, cancel != nullptr && cancel->cancelled());
    }
    answer.result.instance = call.instance;
    answer.result.crashes = crashes_.crashes_of(TimePoint::clock::now(), identity);
    fill_load(*server, answer.result);
    if (--in_flight_ == 0) {
        context_.origins.on_server(TimePoint::clock::now(), false);
    }
    log(request_id, identity.digest, call, answer, arrived, started - arrived);
    return answer;
}

std::optional<SuspectQueue::Turn> LocalGate::take_turn(Server& server, const RequestIdentity& identity,
                                                       const hop::HopRequest& call, TimePoint arrived,
                                                       net::CancelSignal* cancel) const {
    // It has run once, so that waiting longer for a turn than others for room is worth it.
    const auto latest = arrived + std::max(call.longest_wait, call.remaining / 2);
    const auto known = [&] {
        const auto now = TimePoint::clock::now();
        return crashes_.is_condemned(now, identity) ? 0 : crashes_.crashes_of(now, identity);
    };
    return server.suspects.enter(known, latest, cancel);
}

GateAnswer LocalGate::run_admitted(Server& server, std::uint64_t id, net::HttpRequest& request,
                                   const RequestIdentity& identity, const hop::HopRequest& call,
                                   TimePoint deadline, net::CancelSignal* cancel,
                                   net::ExchangeProgress& progress) {
    ++running_;
    running_retries_ += call.retry_percent;
    const auto now = TimePoint::clock::now();
    context_.overload.on_run_began(now, call.row);
    server.crash.began(id, {{identity, crashes_.crashes_of(now, identity)}, &progress});
    auto answer = exchange(server, request, call, deadline, cancel, progress);
    server.crash.ended(id);
    --running_;
    running_retries_ -= call.retry_percent;
    context_.overload.on_run_ended(TimePoint::clock::now(), call.row);
    if (answer.result.outcome == HopOutcome::kAnswered) {
        crashes_.on_answered(identity);
    }
    return answer;
}

std::optional<GateAnswer> LocalGate::wait_for_admission(Server& server, const hop::HopRequest& call,
                                                        std::uint64_t id, TimePoint deadline,
                                                        net::CancelSignal* cancel) {
    const auto now = TimePoint::clock::now();
    admission::GateCall gate_call;
    gate_call.id = id;
    gate_call.priority = call.priority;
    gate_call.root_started = now;
    gate_call.deadline = deadline;
    const auto decision = server.gate.arrive(now, gate_call);
    if (decision.evicted) {
        const auto found = server.waiters.find(*decision.evicted);
        if (found != server.waiters.end()) {
            found->second->decided.set();
        }
    }
    if (decision.verdict == admission::GateVerdict::kAdmitted) {
        return std::nullopt;
    }
    if (decision.verdict == admission::GateVerdict::kRefused) {
        return without_answer(HopOutcome::kNotSent, decision.refusal, decision.retry_after);
    }
    const auto waiter = std::make_shared<Waiter>();
    server.waiters[id] = waiter;
    {
        const net::CancelSubscription subscription(cancel, [waiter] { waiter->decided.set(); });
        if (cancel == nullptr || !cancel->cancelled()) {
            waiter->decided.wait_until(std::min<TimePoint>(decision.give_up_at, now + call.longest_wait));
        }
    }
    server.waiters.erase(id);
    if (waiter->admitted) {
        return std::nullopt;
    }
    server.gate.abandon(id);
    return without_answer(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, decision.retry_after);
}

void LocalGate::observe(Server& server, TimePoint started, TimePoint now, const GateAnswer& answer,
                        bool cancelled) {
    const auto taken = now - started;
    const bool answered = answer.result.outcome == HopOutcome::kAnswered;
    const bool slow = taken > server.latency;
    const bool whole = answered && !net::is_server_error(answer.response->status);
    // A failure may come faster than any work; a request that was given up took at least that long.
    if (whole || (cancelled && slow)) {
        server.latency = server.latency == Duration::zero()
                             ? taken
                             : server.latency + (taken - server.latency) / kLatencyDivisor;
    }
    const bool connect_failed = answer.result.error == ErrorKind::kConnectFailed;
    const bool held_back = answer.result.outcome == HopOutcome::kNotSent && !connect_failed;
    if (cancelled || held_back || !answer.result.overloaded_service.empty()) {
        return;
    }
    selection::noteResult(server.failures, now, !whole, kFailureSample);
}

void LocalGate::finish(Server& server, std::uint64_t id, const std::string& instance, TimePoint started,
                       const GateAnswer& answer, bool cancelled) {
    const auto now = TimePoint::clock::now();
    observe(server, started, now, answer, cancelled);
    const auto limit_before = server.gate.load().limit;
    for (const auto admitted : server.gate.finish(now, id, sample_of(answer), Duration::zero())) {
        const auto found = server.waiters.find(admitted);
        if (found != server.waiters.end()) {
            found->second->admitted = true;
            found->second->decided.set();
        }
    }
    note_use(server, now);
    const auto load = server.gate.load();
    if (load.limit != limit_before) {
        log_event(Event::kGateLimitMoved, {{"server", instance},
                                           {"from", std::to_string(limit_before)},
                                           {"to", std::to_string(load.limit)},
                                           {"in_flight", std::to_string(load.in_flight)},
                                           {"queued", std::to_string(load.queued)}});
    }
}

double LocalGate::retry_share() const {
    return running_ > 0 ? running_retries_ / (kPercent * running_) : 0;
}

void LocalGate::note_use(Server& server, TimePoint now) const {
    overload::noteValue(server.running, now, server.gate.load().in_flight);
}

void LocalGate::mark_overload_below(TimePoint started, GateAnswer& answer) const {
    if (is_failed_answer(answer)) {
        answer.result.overloaded_service = context_.overload.overloaded_since(started);
    }
}

void LocalGate::fill_load(const Server& server, hop::HopResult& result) const {
    const auto load = server.gate.load();
    result.in_flight = load.in_flight;
    result.queued = load.queued;
    result.limit = load.limit;
    result.failed_percent =
        static_cast<unsigned>(kPercent * selection::shareOf(server.failures, TimePoint::clock::now()));
    result.latency_us =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::microseconds>(server.latency).count());
}

void LocalGate::log(const std::string& request_id, const RequestDigest& digest, const hop::HopRequest& call,
                    const GateAnswer& answer, TimePoint arrived, Duration waited) const {
    const auto& result = answer.result;
    const bool answered = result.outcome == HopOutcome::kAnswered;
    const bool served = answered && !net::is_server_error(answer.response->status);
    const auto write_line = served ? observability::log_routine : log_event;
    write_line(Event::kGateCall,
               {{"request_id", request_id},
                {"digest", digest.text()},
                {"server", call.instance},
                {"priority", std::to_string(call.priority)},
                {"outcome", std::string(hop::outcome_name(result.outcome))},
                {"status", answered ? std::to_string(answer.response->status)
                                    : std::string(answer_for(result.error).name)},
                {"waited_ms", std::to_string(to_milliseconds(waited))},
                {"taken_ms", std::to_string(to_milliseconds(TimePoint::clock::now() - arrived))},
                {"time_left_ms", std::to_string(call.remaining.count())},
                {"in_flight", std::to_string(result.in_flight)},
                {"queued", std::to_string(result.queued)},
                {"limit", std::to_string(result.limit)}});
}

}  // namespace anisehold::sidecar
