#include "lab/replay.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "admission/policy/aimd_limit.hpp"
#include "admission/policy/fixed_limit.hpp"
#include "config/csv.hpp"
#include "routing/balancer.hpp"

namespace anisehold::lab {
namespace {

using admission::GateVerdict;
using admission::SampleOutcome;
using config::Mechanism;

constexpr std::uint64_t kSeed = 1;
constexpr std::uint16_t kFirstPort = 10'000;
constexpr unsigned kUnlimited = 100'000;
constexpr unsigned kInitialLimit = 8;
constexpr double kMinWork = 0.7;
constexpr double kMaxWork = 1.3;

TimePoint start_of_time() {
    return TimePoint(std::chrono::hours(1));
}

routing::RouteTable table_of(const Deployment& deployment) {
    config::TableRecord record;
    record.table = config::parse_table_csv(deployment.table_csv).table;
    return {std::move(record), 1};
}

/// Returns the records of a CSV file; if it can't be read, prints a message and returns nothing.
std::optional<std::vector<config::CsvRecord>> load_records(const std::string& file_name) {
    std::ifstream file(file_name, std::ios::binary);
    if (!file) {
        std::cerr << file_name << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return config::parse_csv(text.str());
}

bool malformed(const std::string& file_name, const config::CsvRecord& record) {
    std::cerr << file_name << ":" << record.line << ": is malformed\n";
    return false;
}

bool read_event(const config::CsvRecord& record, TraceEvent& event) {
    if (record.fields.size() != 4) {
        return false;
    }
    std::istringstream time(record.fields[0]);
    long long at_us = 0;
    if (!(time >> at_us) || at_us < 0) {
        return false;
    }
    event.at = microseconds(at_us);
    if (record.fields[1] == "request") {
        event.kind = record.fields[2];
        event.zone = record.fields[3];
        return true;
    }
    event.service = record.fields[2];
    std::istringstream factor(record.fields[3]);
    return record.fields[1] == "slow" && static_cast<bool>(factor >> event.slow_factor);
}

}  // namespace

std::optional<std::vector<TraceEvent>> load_trace(const std::string& file_name) {
    const auto records = load_records(file_name);
    if (!records) {
        return std::nullopt;
    }
    std::vector<TraceEvent> trace;
    for (const auto& record : *records) {
        if (!read_event(record, trace.emplace_back())) {
            malformed(file_name, record);
            return std::nullopt;
        }
    }
    return trace;
}

std::optional<std::vector<StatedOutcome>> load_stated_outcomes(const std::string& file_name) {
    const auto records = load_records(file_name);
    if (!records) {
        return std::nullopt;
    }
    std::vector<StatedOutcome> stated;
    for (const auto& record : *records) {
        StatedOutcome outcome;
        std::istringstream bounds(record.fields.size() == 3 ? record.fields[1] + " " + record.fields[2] : "");
        if (!(bounds >> outcome.min_whole >> outcome.max_whole)) {
            malformed(file_name, record);
            return std::nullopt;
        }
        outcome.kind = record.fields[0];
        stated.push_back(outcome);
    }
    return stated;
}

Replay::Replay(Deployment deployment, config::MechanismSet mechanisms)
    : deployment_(std::move(deployment)),
      mechanisms_(mechanisms),
      table_(table_of(deployment_)),
      random_(kSeed),
      now_(start_of_time()) {
    std::vector<routing::ListedServer> servers;
    std::uint16_t port = kFirstPort;
    for (const auto& service : deployment_.services) {
        for (unsigned index = 0; index < service.servers; ++index) {
            servers.push_back({{"127.0.0.1", port++},
                               service.name,
                               deployment_.zones[index % deployment_.zones.size()],
                               false});
            const auto* row = table_.record().table.find(service.name);
            const unsigned ceiling = row == nullptr || row->limit == 0 ? service.connections : row->limit;
            std::unique_ptr<admission::ConcurrencyLimit> limit;
            if (mechanisms_.has(Mechanism::kGateLimit)) {
                limit = std::make_unique<admission::AimdLimit>(admission::LimitBounds{
                    row != nullptr && row->limit > 0 ? ceiling : kInitialLimit, ceiling});
            } else {
                limit = std::make_unique<admission::FixedLimit>(kUnlimited);
            }
            admission::GateOptions options;
            options.by_priority = mechanisms_.has(Mechanism::kPriorityAdmission);
            gates_[servers.back().endpoint] =
                std::make_unique<admission::ServerGate>(std::move(limit), options);
        }
    }
    registry_.update_list(now_, servers);
}

ReplayOutcomes Replay::run(const std::vector<TraceEvent>& trace) {
    for (const auto& event : trace) {
        schedule(start_of_time() + event.at, [this, &event] { arrive(event); });
    }
    while (!events_.empty()) {
        const Event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return outcomes_;
}

void Replay::schedule(TimePoint at, std::function<void()> action) {
    events_.push({at, next_order_++, std::move(action)});
}

void Replay::arrive(const TraceEvent& event) {
    if (event.kind.empty()) {
        slow_factors_[event.service] = event.slow_factor;
        return;
    }
    const auto call = std::make_shared<SimulatedCall>();
    call->id = next_id_++;
    call->kind = deployment_.kind(event.kind);
    call->zone = event.zone;
    call->root_started = now_;
    ++outcomes_[event.kind].sent;
    auto route = call->kind == nullptr
                     ? std::nullopt
                     : table_.find(call->kind->service, call->kind->method, call->kind->path);
    if (!route) {
        return;
    }
    call->route = std::move(*route);
    call->priority = call->route.row.priority;
    call->deadline = now_ + call->route.row.timeout_ms;
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const bool refuses =
        throttles_[event.zone].refuses(now_, {call->route.row.name, call->priority}, unit(random_));
    if (refuses && mechanisms_.has(Mechanism::kEarlyRefusal)) {
        ++outcomes_[event.kind].refused_early;
        return;
    }
    send(call);
}

/// Chooses a server and passes the call to its gate.
void Replay::send(const CallPointer& call) {
    for (const auto& [server, gate] : gates_) {
        registry_.on_report(now_, server, gate->load());
    }
    const auto chosen =
        routing::choose_server(registry_.candidates(now_, call->kind->service, {}), call->zone, random_);
    call->server = chosen->endpoint;
    enter_gate(call);
}

void Replay::enter_gate(const CallPointer& call) {
    admission::GateCall gate_call;
    gate_call.id = call->id;
    gate_call.priority = call->priority;
    gate_call.root_in_progress = call->parent != nullptr;
    gate_call.row = call->route.row.name;
    gate_call.row_weight = call->route.row.weight;
    gate_call.root_started = call->root_started;
    gate_call.deadline = call->deadline;
    calls_[call->id] = call;
    const auto decision = gates_[call->server]->arrive(now_, gate_call);
    if (decision.evicted) {
        const auto evicted = calls_.at(*decision.evicted);
        evicted->waiting = false;
        complete(evicted, evicted->kind->service);
    }
    if (decision.verdict == GateVerdict::kAdmitted) {
        begin_work(call);
    } else if (decision.verdict == GateVerdict::kRefused) {
        complete(call, call->kind->service);
    } else {
        call->waiting = true;
        schedule(decision.give_up_at, [this, call] {
            if (call->waiting) {
                call->waiting = false;
                gates_[call->server]->abandon(call->id);
                complete(call, call->kind->service);
            }
        });
    }
}

Duration Replay::work_time(const SimulatedCall& call) {
    std::uniform_real_distribution<double> share(kMinWork, kMaxWork);
    const auto slow = slow_factors_.find(call.kind->service);
    const double factor = share(random_) * (slow == slow_factors_.end() ? 1.0 : slow->second);
    return std::chrono::duration_cast<Duration>(call.kind->work_ms * factor);
}

void Replay::begin_work(const CallPointer& call) {
    ledger_.open(ledger_name(*call), {0, call->deadline, call->root_started});
    schedule(now_ + work_time(*call), [this, call] { continue_call(call); });
}

/// Makes the next nested call, or completes the call.
void Replay::continue_call(const CallPointer& call) {
    if (now_ >= call->deadline) {
        leave_gate(call, SampleOutcome::kTimeout);
        complete(call, "");
        return;
    }
    if (call->next_nested == call->kind->calls.size()) {
        leave_gate(call, SampleOutcome::kCompleted);
        if (call->parent == nullptr) {
            ++outcomes_[call->kind->name].whole;
        }
        complete(call, "");
        return;
    }
    const auto nested = std::make_shared<SimulatedCall>();
    nested->id = next_id_++;
    nested->kind = deployment_.kind(call->kind->calls[call->next_nested]);
    nested->parent = call;
    nested->route = *table_.find(nested->kind->service, nested->kind->method, nested->kind->path);
    nested->priority = call->priority;
    nested->zone = registry_.find(call->server)->zone;
    nested->root_started = call->root_started;
    nested->deadline = std::min(call->deadline, now_ + nested->route.row.timeout_ms);
    const auto reply =
        ledger_.draw(now_, {ledger_name(*call), call->next_nested, nested->route.row.repeatable});
    nested->loan_id = reply.loan_id;
    send(nested);
}

void Replay::leave_gate(const CallPointer& call, SampleOutcome outcome) {
    const auto report = ledger_.close(now_, ledger_name(*call));
    for (const auto id : gates_[call->server]->finish(now_, call->id, outcome, report.nested_time)) {
        const auto admitted = calls_.at(id);
        admitted->waiting = false;
        begin_work(admitted);
    }
}

void Replay::complete(const CallPointer& call, const std::string& overloaded_service) {
    calls_.erase(call->id);
    if (call->parent != nullptr) {
        settle_nested(call, overloaded_service);
        return;
    }
    throttles_[call->zone].on_result(now_, {call->route.row.name, call->priority}, overloaded_service);
    outcomes_[call->kind->name].refused += overloaded_service.empty() ? 0 : 1;
}

void Replay::settle_nested(const CallPointer& call, const std::string& overloaded_service) {
    const auto& parent = call->parent;
    retry::SettleRequest settlement;
    settlement.call_id = ledger_name(*parent);
    settlement.identity = parent->next_nested;
    settlement.loan_id = call->loan_id;
    settlement.overloaded_service = overloaded_service;
    ledger_.settle(settlement);
    const bool failed = !overloaded_service.empty() || now_ >= call->deadline;
    if (failed) {
        leave_gate(parent, SampleOutcome::kIgnored);
        complete(parent, overloaded_service);
        return;
    }
    ++parent->next_nested;
    continue_call(parent);
}

}  // namespace anisehold::lab
