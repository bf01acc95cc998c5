#include "daemon/server_gates.hpp"

#include <algorithm>

#include "admission/policy/aimd_limit.hpp"
#include "admission/policy/fixed_limit.hpp"
#include "daemon/http_limits.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using config::Mechanism;

/// Concurrency limit while the lab has switched off the learned limit: high enough never to be reached.
constexpr unsigned kUnlimited = 100'000;

admission::GateCall gate_call_of(const Call& call, std::uint64_t id) {
    admission::GateCall gate_call;
    gate_call.id = id;
    gate_call.priority = call.context.priority;
    gate_call.root_in_progress = !call.is_root();
    gate_call.row = call.route.row.name;
    gate_call.row_weight = call.route.row.weight;
    gate_call.row_limit = call.route.row.kind == config::RowKind::kRequest ? call.route.row.limit : 0;
    gate_call.root_started = call.root_started;
    gate_call.deadline = call.deadline;
    return gate_call;
}

void evict(GateEntry& gate, std::uint64_t id) {
    const auto found = gate.waiting.find(id);
    if (found != gate.waiting.end()) {
        found->second->evicted = true;
        found->second->event.set();
    }
}

}  // namespace

void GateEntry::wake(const std::vector<std::uint64_t>& admitted) {
    for (const auto id : admitted) {
        const auto found = waiting.find(id);
        if (found != waiting.end()) {
            found->second->admitted = true;
            found->second->event.set();
        }
    }
}

std::unique_ptr<admission::ConcurrencyLimit> ServerGates::make_limit(unsigned ceiling) const {
    if (!context_.has(Mechanism::kGateLimit)) {
        return std::make_unique<admission::FixedLimit>(kUnlimited);
    }
    const auto initial = static_cast<unsigned>(context_.settings.backends_initial_limit);
    const auto connections = static_cast<unsigned>(context_.settings.backends_connections_per_server);
    const unsigned max_limit = ceiling == 0 ? connections : std::min(ceiling, connections);
    return std::make_unique<admission::AimdLimit>(
        admission::LimitBounds{ceiling == 0 ? std::min(initial, max_limit) : max_limit, max_limit});
}

std::shared_ptr<GateEntry> ServerGates::open_gate(const Endpoint& server, unsigned ceiling) const {
    const auto pool = gate_pool_limits(context_.settings, !context_.has(Mechanism::kConnectionHygiene));
    admission::GateOptions options;
    options.by_priority = context_.has(Mechanism::kPriorityAdmission);
    auto gate = std::make_shared<GateEntry>(make_limit(ceiling), options, context_.io, server, pool);
    gate->ceiling = ceiling;
    observability::log_event(observability::Event::kGateOpened, {{"server", server.text()}});
    return gate;
}

std::shared_ptr<GateEntry> ServerGates::gate_for(const Endpoint& server,
                                                 const routing::RouteDecision& route) {
    auto& gate = gates_[server];
    const unsigned ceiling = route.service_row.limit;
    if (!gate) {
        gate = open_gate(server, ceiling);
    }
    if (gate->ceiling != ceiling) {
        // The operators changed the row's limit, so the learned limit starts again from the new ceiling.
        gate->ceiling = ceiling;
        gate->gate.set_limit(make_limit(ceiling));
    }
    return gate;
}

std::optional<CallResult> ServerGates::wait_for_admission(GateEntry& gate, const Call& call,
                                                          std::uint64_t id) {
    const auto gate_call = gate_call_of(call, id);
    const auto decision = gate.gate.arrive(TimePoint::clock::now(), gate_call);
    if (decision.evicted) {
        evict(gate, *decision.evicted);
    }
    if (decision.verdict == admission::GateVerdict::kAdmitted) {
        return std::nullopt;
    }
    if (decision.verdict == admission::GateVerdict::kRefused) {
        return CallResult::refusal(ErrorKind::kOverloaded, call.service, decision.retry_after);
    }
    context_.decisions.add(call.context.root_id, call.context.call_id, observability::DecisionStep::kQueued,
                           gate_call.row);
    return wait_in_queue(gate, call, id, decision);
}

std::optional<CallResult> ServerGates::wait_in_queue(GateEntry& gate, const Call& call, std::uint64_t id,
                                                     const admission::ArrivalDecision& decision) {
    const auto waiter = std::make_shared<WaitingCall>();
    gate.waiting[id] = waiter;
    {
        net::CancelSubscription subscription(call.cancel, [waiter] { waiter->event.set(); });
        waiter->event.wait_until(decision.give_up_at);
    }
    gate.waiting.erase(id);
    if (waiter->admitted) {
        return std::nullopt;
    }
    gate.gate.abandon(id);
    if (waiter->evicted) {
        return CallResult::refusal(ErrorKind::kOverloaded, call.service, decision.retry_after);
    }
    if (call.cancel != nullptr && call.cancel->cancelled()) {
        auto result = CallResult::failure(ErrorKind::kCancelled);
        result.execution = Execution::kNotRun;
        return result;
    }
    return CallResult::refusal(ErrorKind::kQueueTimeout, call.service, decision.retry_after);
}

void ServerGates::housekeep() {
    // Hundreds of servers appear and disappear each day, so a gate is removed when its server is no longer
    // listed.
    std::erase_if(gates_, [&](const auto& entry) {
        const auto load = entry.second->gate.load();
        return registry_.find(entry.first) == nullptr && load.in_flight == 0 && load.queued == 0;
    });
    for (const auto& [server, gate] : gates_) {
        const auto load = gate->gate.load();
        context_.metrics.set_gate(server.text(), {load.in_flight, load.queued, load.limit});
    }
}

std::vector<GateStatus> ServerGates::status() const {
    std::vector<GateStatus> all;
    for (const auto& [server, gate] : gates_) {
        all.push_back(
            {server, gate->gate.load(), gate->gate.admitted_priority(), gate->client.open_connections()});
    }
    return all;
}

admission::GateLoad ServerGates::load_of(const Endpoint& server) const {
    const auto found = gates_.find(server);
    return found == gates_.end() ? admission::GateLoad{} : found->second->gate.load();
}

}  // namespace anisehold::daemon
