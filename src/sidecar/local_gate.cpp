#include "sidecar/local_gate.hpp"

#include <algorithm>

#include "observability/events.hpp"
#include "sidecar/gate_reservations.hpp"
#include "sidecar/request_identity.hpp"
#include "sidecar/server_exchange.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using observability::Event;
using observability::EventField;
using observability::log_event;

constexpr double kPercent = 100;
/// Maximum digests in one log line: each takes 33 bytes, and a server may have a hundred requests in flight
/// when it crashes.
constexpr std::size_t kMaxLoggedDigests = 32;

/// Minimum time between two immediate reports that a server began or ceased to decline. The share may move
/// about the threshold.
constexpr milliseconds kDeclineReportGap{200};

/// Largest priority that has a metric of its own; every label value is kept.
constexpr unsigned kMaxRankLabel = 7;

retry::GateBudgetTerms gate_budget_terms(const config::SidecarSettings& settings) {
    retry::GateBudgetTerms terms;
    terms.ratio = settings.retry_ratio;
    terms.extra = settings.retry_extra;
    terms.window = settings.retry_window;
    return terms;
}

/// The rank of a retry among the others at the gate: that of its root, where it is known.
retry::RetryRank retry_rank_of(const GateServer& server, const GateRun& run, TimePoint now) {
    const auto& call = run.call;
    if (!run.orders_by_root) {
        return {call.priority, 0};
    }
    const auto own_rank = attribution::rankOfUnknownRoot(server.root_ranks, now, call.row, call.priority);
    return {call.root_priority.value_or(own_rank), call.made};
}

std::string digests_of(const std::vector<suspects::CrashedRun>& runs) {
    std::string digests;
    for (std::size_t n = 0; n < std::min(runs.size(), kMaxLoggedDigests); ++n) {
        digests.append(n > 0 ? " " : "").append(runs[n].request.digest.text());
    }
    return digests;
}

/// Which connection to the server carried the request, for the log.
std::string_view connection_text(const net::ExchangeProgress& progress) {
    if (!progress.request_started) {
        return "none";
    }
    return progress.connection_reused ? "kept" : "new";
}

std::string_view name_of(ResponseClass response_class) {
    switch (response_class) {
        case ResponseClass::kGenuine:
            return "genuine";
        case ResponseClass::kNotRun:
            return "not-run";
        case ResponseClass::kUntrusted:
            break;
    }
    return "untrusted";
}

/// Over which connection the request of a surplus response was sent: the one that the response came over, or
/// another.
std::string_view request_connection(const net::SurplusResponse& surplus) {
    return surplus.is_to_known_request ? "same" : "other";
}

/// Describes a run that is sent to the server at `now`, for the attribution of its calls.
attribution::ServerRun server_run_of(const GateRun& run, TimePoint now) {
    attribution::ServerRun server_run{now + time_left_for_server(run, now), run.call.row};
    if (run.call.root_priority) {
        server_run.root = attribution::Root{run.call.root_row, *run.call.root_priority};
    }
    return server_run;
}

}  // namespace

GateAnswer LocalGate::run(net::HttpRequest request, const hop::HopRequest& call, net::CancelSignal* cancel,
                          net::ExchangeProgress& progress) {
    const auto arrived = TimePoint::clock::now();
    GateRun run{call,
                0,
                context_.dialect.read_client_call(request).id,
                identity_of(request, call.caller),
                arrived,
                arrived + call.remaining,
                cancel,
                progress};
    const auto server = servers_.find(call.instance);
    if (!server) {
        auto answer = make_failure(HopOutcome::kNotSent, ErrorKind::kNoBackend);
        answer.result.instance = call.instance;
        log(run, answer, Duration::zero());
        return answer;
    }
    run.id = next_id_++;
    run.orders_by_root = context_.has(Mechanism::kCallAttribution);
    in_flight_.insert(&run);
    if (in_flight_.size() == 1) {
        context_.origins.on_server(arrived, true);
    }
    crashes_.on_reported_crashes(run.identity, call.crashes);
    if (call.rate_limit) {
        apply_reported_rate(*server, *call.rate_limit, RateSource::kCaller);
    }
    const auto turn = wait_for_turn(*server, run);
    auto refused = admit(*server, run, turn.has_value());
    if (refused && call.grant != 0) {
        withdraw_reservation(*server, call.grant);
    }
    const auto started = TimePoint::clock::now();
    record_in_flight(*server, started);
    auto answer = refused ? std::move(*refused) : run_admitted(*server, run, request, started);
    answer.result.instance = call.instance;
    answer.result.crashes = crashes_.crashes_of(TimePoint::clock::now(), run.identity);
    fill_load(*server, answer.result);
    in_flight_.erase(&run);
    if (in_flight_.empty()) {
        context_.origins.on_server(TimePoint::clock::now(), false);
    }
    log(run, answer, started - arrived);
    return answer;
}

OpenRequests LocalGate::open_requests(TimePoint now) const {
    OpenRequests found;
    for (const auto* run : in_flight_) {
        found.push_back(
            {run->request_id, "", run->call.instance, now - run->arrived, run->progress.request_started});
    }
    return found;
}

std::optional<SuspectQueue::Turn> LocalGate::wait_for_turn(GateServer& server, const GateRun& run) const {
    // A suspect has already run once, so it may wait longer for its turn than other requests wait for a slot.
    const auto latest = run.arrived + std::max(run.call.max_wait, run.call.remaining / 2);
    const auto known = [&] {
        const auto now = TimePoint::clock::now();
        return crashes_.is_condemned(now, run.identity) ? 0 : crashes_.crashes_of(now, run.identity);
    };
    return server.suspects.enter(known, latest, run.cancel);
}

std::optional<GateAnswer> LocalGate::admit(GateServer& server, const GateRun& run, bool has_turn) const {
    // A condemned request doesn't wait for a turn, and a request may have been condemned while it waited.
    if (crashes_.is_condemned(TimePoint::clock::now(), run.identity)) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kCrashesServers);
    }
    if (!can_complete(run.call.row, run.deadline)) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kNoBackend);
    }
    if (!has_turn) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kQueueTimeout, server.latency);
    }
    if (context_.has(Mechanism::kConnectBackoff) &&
        !connection::acquireAttempt(server.backoff, run.arrived)) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    }
    auto refused = run.call.grant != 0 ? take_granted_slot(server, run) : wait_for_slot(server, run);
    if (refused && !run.is_cancelled() && server.gate.is_rate_limited()) {
        record_rate_refusal(server);
    }
    return refused;
}

bool LocalGate::can_complete(const std::string& row, TimePoint deadline) const {
    return context_.run_completion.can_complete(TimePoint::clock::now(), {row, deadline});
}

bool LocalGate::may_grant(const std::string& instance) const {
    return servers_.is_ready(instance) && !context_.stop.is_leaving();
}

GateAnswer LocalGate::reserve(const hop::HopRequest& call, net::CancelSignal* cancel) {
    // A grant without a number tells a caller whose settings were reloaded earlier to send its request
    // directly.
    auto answer = make_failure(HopOutcome::kGranted, ErrorKind::kNoBackend);
    const auto server = servers_.find(call.instance);
    if (!server) {
        answer.result.outcome = HopOutcome::kNotSent;
    } else if (call.withdraw != 0) {
        withdraw_reservation(*server, call.withdraw);
        context_.metrics.count_reservation("withdrawn");
        answer.result.outcome = HopOutcome::kNotSent;
    } else if (context_.has(Mechanism::kSlotReservation)) {
        answer = reserve_at(*server, call, cancel);
    }
    answer.result.instance = call.instance;
    if (server) {
        fill_load(*server, answer.result);
    }
    return answer;
}

GateAnswer LocalGate::reserve_at(GateServer& server, const hop::HopRequest& call, net::CancelSignal* cancel) {
    if (call.rate_limit) {
        apply_reported_rate(server, *call.rate_limit, RateSource::kCaller);
    }
    if (!may_grant(call.instance) || !can_complete(call.row, TimePoint::clock::now() + call.remaining)) {
        if (call.ticket != 0) {
            withdraw_reservation(server, call.ticket);
        }
        return make_failure(HopOutcome::kNotSent, ErrorKind::kNoBackend);
    }
    auto answer = reserve_slot(server, {call, next_id_++, cancel, context_.random, context_.metrics,
                                        context_.has(Mechanism::kCallAttribution)});
    // The server or this daemon may have begun to leave while the reservation waited.
    const auto held = std::max(answer.result.grant, answer.result.ticket);
    if (held != 0 && !may_grant(call.instance)) {
        withdraw_reservation(server, held);
        return make_failure(HopOutcome::kNotSent, ErrorKind::kNoBackend);
    }
    const bool left = cancel != nullptr && cancel->cancelled();
    if (answer.result.outcome == HopOutcome::kNotSent && !left && server.gate.is_rate_limited()) {
        record_rate_refusal(server);
    }
    return answer;
}

void LocalGate::record_rate_refusal(GateServer& server) const {
    const auto now = TimePoint::clock::now();
    server.gate.rate().on_refused(now);
    server.rate_lines.on_refused(now, server.gate.rate());
    context_.metrics.count_rate_refusal(context_.settings.service);
}

std::optional<GateAnswer> LocalGate::refusal_of_admitted(const GateServer& server, const GateRun& run) {
    // A stop may have begun while the request waited.
    if (!servers_.is_ready(run.call.instance) || !can_complete(run.call.row, run.deadline)) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kNoBackend);
    }
    if (!grants_retry(server, run)) {
        return make_failure(HopOutcome::kNotSent, ErrorKind::kRetriesExhausted);
    }
    return std::nullopt;
}

GateAnswer LocalGate::run_admitted(GateServer& server, const GateRun& run, net::HttpRequest& request,
                                   TimePoint started) {
    auto refused = refusal_of_admitted(server, run);
    auto answer = refused ? std::move(*refused) : run_at_server(server, run, request);
    // If a server failed while calls made by its machine were refused for overload, the overload is the most
    // likely cause: the server's own load says nothing, and the work done for the request is lost.
    if (is_failed_answer(answer)) {
        answer.result.overloaded_service = context_.overload.overloaded_since(started);
    }
    finish(server, run, started, answer);
    return answer;
}

GateAnswer LocalGate::run_at_server(GateServer& server, const GateRun& run, net::HttpRequest& request) {
    ++running_;
    running_retries_ += run.call.retry_percent;
    const auto now = TimePoint::clock::now();
    context_.overload.on_run_began(now, run.call.row);
    server.crash.began(run.id, {{run.identity, crashes_.crashes_of(now, run.identity)}, &run.progress});
    // Includes this run, but not the places that are only reserved.
    const bool had_free_slot = server.gate.executing() <= servers_.slots_of(run.call.instance);
    if (context_.has(Mechanism::kCallAttribution)) {
        attribution::recordRunBegan(context_.attribution, run.id, server_run_of(run, now));
    }
    auto end = exchange_with_server(context_, server, request, run);
    attribution::recordRunEnded(context_.attribution, run.id);
    if (run.progress.surplus) {
        context_.metrics.count_surplus_response(context_.settings.service,
                                                request_connection(*run.progress.surplus));
    }
    if (end.answer.response) {
        context_.run_completion.on_response(run.call.row, now, *end.answer.response);
    }
    if (context_.has(Mechanism::kServerSpeed)) {
        context_.overload.on_server_slowness(speed::slowPercent(server.speed, TimePoint::clock::now()) /
                                             kPercent);
    }
    if (context_.has(Mechanism::kGateRetryBudget)) {
        record_arrival(run);
        record_declined(server, run, end, had_free_slot);
    }
    if (end.connection_broke) {
        check_for_crash(server, run.call.instance);
    }
    if (end.notice) {
        process_notice(server, run.call.instance, end);
        end.answer.result.server_leaves = end.notice->is_leaving;
    }
    server.crash.ended(run.id);
    --running_;
    running_retries_ -= run.call.retry_percent;
    if (is_declined(end.answer)) {
        context_.overload.on_run_declined(TimePoint::clock::now(), run.call.row);
    } else {
        context_.overload.on_run_ended(TimePoint::clock::now(), run.call.row);
    }
    if (end.answer.result.outcome == HopOutcome::kAnswered) {
        crashes_.on_answered(run.identity);
    }
    return std::move(end.answer);
}

void LocalGate::process_notice(GateServer& server, const std::string& instance,
                               const ServerExchangeResult& end) {
    const auto& notice = *end.notice;
    const auto now = TimePoint::clock::now();
    if (notice.is_leaving && servers_.on_leaving_answer(instance)) {
        change_listener_();
    }
    if (notice.has_malformed_limit) {
        server.rate_lines.on_malformed();
        return;
    }
    // A server without free capacity may refuse a request without stating its limit.
    if (!notice.rate_limit && end.answer.result.outcome != HopOutcome::kAnswered) {
        return;
    }
    auto& rate = server.gate.rate();
    const auto age = rate.age(now);
    const auto change = rate.on_answer(now, end.sent, notice.rate_limit);
    server.rate_lines.on_change(now, rate, {change, RateSource::kAnswer, age});
    if (change != admission::RateChange::kNone) {
        release_waiting(server, now);
    }
}

void LocalGate::apply_reported_rate(GateServer& server, RequestRate rate, RateSource source) {
    const auto now = TimePoint::clock::now();
    const auto change = server.gate.rate().on_report(now, rate);
    server.rate_lines.on_change(now, server.gate.rate(), {change, source, Duration::zero()});
}

void LocalGate::on_health(const HealthAnswer& health) {
    const auto server = health.rate_limit ? servers_.find(health.instance) : nullptr;
    if (server) {
        apply_reported_rate(*server, *health.rate_limit, RateSource::kHealth);
    }
}

void LocalGate::check_for_crash(GateServer& server, const std::string& instance) {
    // A server that announced that it is leaving is expected to end.
    if (!servers_.is_ready(instance) || !server.crash.is_server_gone() || !server.crash.acquire_report()) {
        return;
    }
    const auto unanswered = server.crash.unanswered();
    context_.metrics.count_server_crash(context_.settings.service);
    crashes_.on_crash(unanswered);
    servers_.on_crash(instance);
    change_listener_();
    log_event(Event::kServerCrashed, {{"server", instance},
                                      {"service", context_.settings.service},
                                      {"running", std::to_string(unanswered.size())},
                                      {"digests", digests_of(unanswered)}});
}

void LocalGate::finish(GateServer& server, const GateRun& run, TimePoint started, const GateAnswer& answer) {
    const auto now = TimePoint::clock::now();
    // A server whose calls were declined fails through no fault of its own.
    const bool has_declined_calls = is_failed_answer(answer) && context_.overload.has_declined_calls(started);
    if (!has_declined_calls && !run.progress.request_cut) {
        record_end(server, started, now, answer, run.is_cancelled());
    }
    const auto limit_before = server.gate.load().limit;
    free_slot(server, now, run.id, sample_of(answer));
    record_in_flight(server, now);
    const auto load = server.gate.load();
    if (load.limit != limit_before) {
        log_event(Event::kGateLimitMoved, {{"server", run.call.instance},
                                           {"from", std::to_string(limit_before)},
                                           {"to", std::to_string(load.limit)},
                                           {"in_flight", std::to_string(load.in_flight)},
                                           {"queued", std::to_string(load.queued)}});
    }
}

retry::GateBudget& LocalGate::budget_of(const std::string& service) {
    return budgets_.try_emplace(service, gate_budget_terms(context_.settings), started_).first->second;
}

bool LocalGate::grants_retry(const GateServer& server, const GateRun& run) {
    if (!context_.has(Mechanism::kGateRetryBudget) || !run.call.is_retry) {
        return true;
    }
    const auto& service = context_.settings.service;
    const auto now = TimePoint::clock::now();
    const auto rank = retry_rank_of(server, run, now);
    const bool granted = budget_of(service).try_retry(now, rank);
    context_.metrics.count_gate_retry(service, std::min(rank.priority, kMaxRankLabel), granted);
    return granted;
}

void LocalGate::record_arrival(const GateRun& run) {
    if (run.call.is_retry || !run.progress.request_started) {
        return;
    }
    budget_of(context_.settings.service)
        .on_first_arrival(TimePoint::clock::now(), run.call.retry_percent / kPercent);
}

void LocalGate::record_declined(GateServer& server, const GateRun& run, ServerExchangeResult& end,
                                bool had_free_slot) {
    auto& result = end.answer.result;
    const bool refused = result.outcome == HopOutcome::kRefusedByServer;
    const bool leaves = end.notice && end.notice->is_leaving;
    const bool has_rate = server.gate.rate().limit() || (end.notice && end.notice->rate_limit);
    if (result.outcome == HopOutcome::kNotSent || (refused && (leaves || has_rate || !had_free_slot))) {
        return;
    }
    const auto now = TimePoint::clock::now();
    const auto change = admission::record_arrival_end(server.declined, now, refused);
    result.declined_percent = admission::declined_percent(server.declined, now);
    context_.metrics.set_declined_share(context_.settings.service,
                                        admission::current_declined(server.declined, now));
    context_.overload.on_declined_share(
        now, context_.settings.service,
        {run.call.instance, result.declined_percent,
         static_cast<unsigned>(std::chrono::duration_cast<microseconds>(server.latency).count())});
    log_decline_change(run.call.instance, server, now, change);
    if (change != admission::DeclineChange::kNone && now >= next_decline_report_) {
        next_decline_report_ = now + kDeclineReportGap;
        change_listener_();
    }
}

void LocalGate::on_service_servers(TimePoint now, const std::string& service, std::size_t servers,
                                   std::uint64_t identity) {
    if (context_.has(Mechanism::kGateRetryBudget)) {
        budget_of(service).on_servers(now, servers, identity);
    }
}

void LocalGate::apply_settings() {
    for (auto& [service, budget] : budgets_) {
        budget.set_terms(gate_budget_terms(context_.settings));
    }
}

double LocalGate::retry_share() const {
    return running_ > 0 ? running_retries_ / (kPercent * running_) : 0;
}

void LocalGate::log(const GateRun& run, const GateAnswer& answer, Duration waited) const {
    const auto& result = answer.result;
    const auto write_line = is_good_answer(answer) ? observability::log_routine : log_event;
    const auto write = [&](const auto&... more) {
        write_line(Event::kGateCall,
                   {{"request_id", run.request_id},
                    {"digest", run.identity.digest.text()},
                    {"server", run.call.instance},
                    {"priority", std::to_string(run.call.priority)},
                    {"outcome", std::string(hop::outcome_name(result.outcome))},
                    {"status", answer.response ? std::to_string(answer.response->status)
                                               : std::string(answer_for(result.error).name)},
                    {"connection", std::string(connection_text(run.progress))},
                    {"connection_number", std::to_string(run.progress.connection)},
                    {"waited_ms", std::to_string(to_milliseconds(waited))},
                    {"taken_ms", std::to_string(to_milliseconds(TimePoint::clock::now() - run.arrived))},
                    {"time_left_ms", std::to_string(run.call.remaining.count())},
                    {"in_flight", std::to_string(result.in_flight)},
                    {"queued", std::to_string(result.queued)},
                    {"limit", std::to_string(result.limit)},
                    {"per_s", rate_text(result.rate_limit)},
                    more...});
    };
    if (!run.progress.surplus) {
        write();
        return;
    }
    const auto& surplus = *run.progress.surplus;
    const auto echo_name = context_.dialect.echoed_field(run.request_id).name;
    write(EventField{"surplus_id", std::string(surplus.head.fields.find(echo_name).value_or(""))},
          EventField{"surplus_status", std::to_string(surplus.head.status)},
          EventField{"surplus_class", std::string(name_of(context_.dialect.classify_response(surplus.head)))},
          EventField{"surplus_connection", std::string(request_connection(surplus))});
}

}  // namespace anisehold::sidecar
