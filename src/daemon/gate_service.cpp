#include "daemon/gate_service.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <charconv>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "protocol/retry_after.hpp"

namespace anisehold::daemon {
namespace {

using admission::SampleOutcome;
using config::Mechanism;
using observability::DecisionStep;

/// Interval at which expired ledgers and unused gates are removed and the gate metrics are updated.
constexpr seconds kHousekeepingPeriod{1};

Duration retry_after_of(const net::HttpResponse& response) {
    const auto value = response.fields.find(header::kRetryAfter);
    unsigned whole_seconds = 0;
    if (!value ||
        std::from_chars(value->data(), value->data() + value->size(), whole_seconds).ec != std::errc{}) {
        return retry_after::kServerRefused;
    }
    return seconds(whole_seconds);
}

}  // namespace

/// Holds a dispatched call's slot at the gate and its ledger, and releases both exactly once.
class GateService::Admission {
  public:
    Admission(GateService& service, std::shared_ptr<GateEntry> gate, std::uint64_t id, std::string call_id,
              const Endpoint& server)
        : service_(service), gate_(std::move(gate)), id_(id), call_id_(std::move(call_id)), server_(server) {
        ++service_.in_flight_;
        service_.registry_.on_dispatch(server_);
    }
    ~Admission() { end(SampleOutcome::kIgnored); }
    Admission(const Admission&) = delete;
    Admission& operator=(const Admission&) = delete;

    retry::LedgerReport end(SampleOutcome outcome) {
        if (ended_) {
            return {};
        }
        ended_ = true;
        const auto now = TimePoint::clock::now();
        auto report = service_.ledger_.close(now, call_id_);
        --service_.in_flight_;
        service_.registry_.on_finish(server_);
        if (!report.overloaded_service.empty() && outcome != SampleOutcome::kCompleted) {
            // A nested call met the overload, so the outcome says nothing about this server's own capacity.
            outcome = SampleOutcome::kIgnored;
        }
        gate_->wake(gate_->gate.finish(now, id_, outcome, report.nested_time));
        return report;
    }

  private:
    GateService& service_;
    std::shared_ptr<GateEntry> gate_;
    std::uint64_t id_;
    std::string call_id_;
    Endpoint server_;
    bool ended_ = false;
};

namespace {

/// Forwards a streamed response body and ends the call's admission at the end of the body.
template <typename Admission>
class AdmittedBodyReader final : public net::BodyReader {
  public:
    AdmittedBodyReader(std::unique_ptr<net::BodyReader> source, std::shared_ptr<Admission> admission)
        : source_(std::move(source)), admission_(std::move(admission)) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        const auto count = source_->read(data, size, error);
        if (count == 0 && !error) {
            admission_->end(SampleOutcome::kCompleted);
        }
        return count;
    }

  private:
    std::unique_ptr<net::BodyReader> source_;
    std::shared_ptr<Admission> admission_;
};

void log_doubted_refusal(const Call& call, const retry::ServerRefusal& refusal) {
    observability::log_routine(observability::Event::kRefusalDoubted,
                               {{"request_id", call.context.root_id},
                                {"service", call.service},
                                {"row", call.route.row.name},
                                {"made_calls", refusal.made_calls ? "yes" : "no"},
                                {"held_ms", std::to_string(to_milliseconds(refusal.held))},
                                {"time_is_up", refusal.time_is_up ? "yes" : "no"}});
}

}  // namespace

GateService::GateService(DaemonContext& context, MembershipService& /*membership*/,
                         routing::BackendRegistry& registry)
    : context_(context), registry_(registry), gates_(context, registry) {}

void GateService::start() {
    net::EventLoop::spawn([this] {
        while (true) {
            boost::this_fiber::sleep_for(kHousekeepingPeriod);
            ledger_.expire(TimePoint::clock::now());
            gates_.housekeep();
        }
    });
}

retry::DrawReply GateService::handle(const retry::DrawRequest& request) {
    return ledger_.draw(TimePoint::clock::now(), request);
}

void GateService::open_client_ledger(const std::string& id, const retry::LedgerTerms& terms) {
    ledger_.open_if_absent(id, terms);
}

void GateService::handle(const retry::SettleRequest& request) {
    ledger_.settle(request);
}

CallResult GateService::dispatch(Call& call, const Endpoint& server) {
    const auto candidates = registry_.candidates(TimePoint::clock::now(), call.service, {});
    const bool takes_work = std::any_of(candidates.begin(), candidates.end(),
                                        [&](const auto& candidate) { return candidate.endpoint == server; });
    if (!takes_work && context_.has(Mechanism::kLeavingDetection)) {
        auto result = CallResult::failure(ErrorKind::kNoBackend, retry_after::kNoServer);
        result.server_leaving = true;
        return result;
    }
    const auto gate = gates_.gate_for(server, call.route);
    const auto id = next_id_++;
    if (auto refused = gates_.wait_for_admission(*gate, call, id)) {
        return std::move(*refused);
    }
    return run(gate, call, server, id);
}

net::HttpRequest GateService::server_request(Call& call) const {
    const auto now = TimePoint::clock::now();
    auto request = forwarded_request(call);
    CallContext context = call.context;
    context.home = context_.self.id;
    request.fields.set(header::kContext, encode_call_context(context, context_.settings.daemon_mesh_key));
    request.fields.set(header::kTraceParent, make_trace_parent(context.root_id, context.call_id));
    request.fields.set(header::kTimeout, std::to_string(std::max(0LL, to_milliseconds(call.deadline - now))));
    request.fields.remove(header::kGate);
    return request;
}

CallResult GateService::run(const std::shared_ptr<GateEntry>& gate, Call& call, const Endpoint& server,
                            std::uint64_t id) {
    ledger_.open(call.context.call_id, {call.context.retry_allowance, call.deadline, call.root_started});
    const auto admission = std::make_shared<Admission>(*this, gate, id, call.context.call_id, server);
    context_.metrics.count_dispatch(call.service);
    context_.decisions.add(call.context.root_id, call.context.call_id, DecisionStep::kDispatched,
                           call.service + " " + server.text());
    auto request = server_request(call);
    net::ExchangeOptions options{call.deadline, call.cancel};
    // Servers echo no identifier, so only the connection ties a response to its request.
    options.exclusive_connection = !call.route.row.repeatable && context_.has(Mechanism::kConnectionHygiene);
    net::ExchangeProgress progress;
    std::error_code error;
    const auto sent = TimePoint::clock::now();
    auto response = gate->client.exchange(request, options, progress, error);
    const auto now = TimePoint::clock::now();
    if (!response) {
        auto result = failure_result(progress, call, *admission);
        const bool was_attempted = !progress.request_cut && (progress.request_started || !progress.connected);
        if (result.error != ErrorKind::kCancelled && was_attempted) {
            registry_.on_outcome(now, server, routing::ServerOutcome::kFailure);
            if (registry_.is_ejected(now, server)) {
                observability::log_event(observability::Event::kServerEjected, {{"server", server.text()}});
            }
        }
        return result;
    }
    registry_.on_outcome(now, server, routing::ServerOutcome::kSuccess);
    const bool announces_leaving = response->connection_close && context_.has(Mechanism::kLeavingDetection);
    if (announces_leaving) {
        if (!registry_.is_leaving(now, server)) {
            observability::log_event(observability::Event::kServerLeaving,
                                     {{"server", server.text()}, {"sign", "connection-close"}});
        }
        registry_.mark_leaving(now, server);
    }
    auto result = answer_result(std::move(*response), call, admission, now - sent);
    result.server_leaving = announces_leaving;
    return result;
}

CallResult GateService::answer_result(net::HttpResponse response, const Call& call,
                                      const std::shared_ptr<Admission>& admission, Duration held) {
    for (const auto name : {header::kError, header::kExecution, header::kGateReport, header::kContext}) {
        response.fields.remove(name);
    }
    const bool refused =
        net::is_server_error(response.status) && response.fields.find(header::kNotRun).has_value();
    if (refused) {
        const auto report = admission->end(SampleOutcome::kShed);
        const auto& overloaded = report.overloaded_service.empty() ? call.service : report.overloaded_service;
        const retry::ServerRefusal refusal{report.made_calls, held, TimePoint::clock::now() >= call.deadline};
        const bool may_have_begun = !call.route.row.repeatable && context_.has(Mechanism::kExactOutcomes) &&
                                    !retry::proves_not_begun(refusal);
        if (may_have_begun) {
            log_doubted_refusal(call, refusal);
        }
        const auto kind = may_have_begun ? ErrorKind::kOutcomeUnknown : ErrorKind::kBackendRefused;
        auto result = CallResult::refusal(kind, overloaded, retry_after_of(response));
        result.retries_used = report.used;
        result.nested_ran = report.nested_ran;
        return result;
    }
    CallResult result;
    if (response.body.whole()) {
        const auto report = admission->end(SampleOutcome::kCompleted);
        result.retries_used = report.used;
        if (net::is_server_error(response.status)) {
            result.overloaded_service = report.overloaded_service;
        }
    } else {
        // Nested calls may continue while the body streams, so the whole allowance counts as used.
        result.retries_used = call.context.retry_allowance;
        response.body.rest =
            std::make_unique<AdmittedBodyReader<Admission>>(std::move(response.body.rest), admission);
    }
    result.response = std::move(response);
    return result;
}

CallResult GateService::failure_result(const net::ExchangeProgress& progress, const Call& call,
                                       Admission& admission) {
    const auto now = TimePoint::clock::now();
    const bool cancelled = call.cancel != nullptr && call.cancel->cancelled();
    const bool timed_out = now >= call.deadline;
    const bool reports_exact_outcome = context_.has(Mechanism::kExactOutcomes);
    ErrorKind kind = ErrorKind::kBackendFailed;
    if (cancelled) {
        kind = ErrorKind::kCancelled;
    } else if (timed_out && progress.connected && !progress.request_started) {
        kind = ErrorKind::kQueueTimeout;
    } else if (!progress.request_started || !reports_exact_outcome) {
        kind = ErrorKind::kConnectFailed;
    } else if (timed_out) {
        kind = ErrorKind::kDeadlineExceeded;
    }
    const bool server_timed_out = timed_out && !cancelled && kind != ErrorKind::kQueueTimeout;
    const auto report = admission.end(server_timed_out ? SampleOutcome::kTimeout : SampleOutcome::kIgnored);
    auto result = CallResult::failure(kind, retry_after::kNoServer);
    if (!progress.request_started) {
        result.execution = Execution::kNotRun;
    } else {
        result.retries_used = report.used;
    }
    result.overloaded_service = report.overloaded_service;
    return result;
}

}  // namespace anisehold::daemon
