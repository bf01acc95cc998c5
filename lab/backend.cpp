#include "lab/backend.hpp"

#include <algorithm>
#include <charconv>

#include "lab/answer_body.hpp"
#include "lab/control.hpp"
#include "lab/stand_in_log.hpp"
#include "protocol/call_context.hpp"

namespace anisehold::lab {
namespace {

using nlohmann::json;

/// Work is distributed uniformly between these shares of the average.
constexpr double kMinWork = 0.7;
constexpr double kMaxWork = 1.3;
/// Maximum number of calls that wait for a slot; further calls are refused.
constexpr std::size_t kQueue = 200;
constexpr milliseconds kDefaultTimeout{10'000};
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

milliseconds timeout_of(const net::HttpRequest& request) {
    const auto value = request.fields.find(header::kTimeout);
    long long timeout_ms = 0;
    if (!value ||
        std::from_chars(value->data(), value->data() + value->size(), timeout_ms).ec != std::errc{}) {
        return kDefaultTimeout;
    }
    return milliseconds(timeout_ms);
}

std::string request_id_of(const net::HttpRequest& request) {
    return std::string(request.fields.find(kRequestHeader).value_or(""));
}

/// Waits until `until`; returns false if the caller disconnects first.
bool sleep_until(TimePoint until, net::CancelSignal& cancel) {
    if (cancel.cancelled()) {
        return false;
    }
    const auto gone = std::make_shared<net::FiberEvent>();
    const net::CancelSubscription subscription(&cancel, [gone] { gone->set(); });
    return !gone->wait_until(until);
}

}  // namespace

/// Returns the slot at the end of the scope.
class Backend::SlotLease {
  public:
    explicit SlotLease(Backend& backend) : backend_(backend) {}
    ~SlotLease() { backend_.return_slot(); }
    SlotLease(const SlotLease&) = delete;
    SlotLease& operator=(const SlotLease&) = delete;

  private:
    Backend& backend_;
};

Backend::Backend(boost::asio::io_context& io, Deployment deployment, BackendOptions options,
                 CallTargets targets)
    : deployment_(std::move(deployment)),
      options_(std::move(options)),
      caller_(io, std::move(targets), std::random_device{}()),
      server_(
          io, {},
          {[this](net::HttpRequest& request, net::CancelSignal& cancel) { return handle(request, cancel); },
           [](ErrorKind kind) {
               return json_answer(answer_for(kind).http_status, {{"error", "bad request"}});
           }}),
      random_(std::random_device{}()) {
    const auto* service = deployment_.service(options_.service);
    slots_ = service == nullptr ? 1 : service->slots;
}

std::error_code Backend::start(const Endpoint& endpoint) {
    return server_.start(endpoint);
}

void Backend::drain() {
    draining_ = true;
    server_.begin_closing();
}

net::HttpResponse Backend::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    if (request.target.starts_with("/lab/")) {
        return control(request);
    }
    if (request.target == "/health") {
        const bool says_draining = draining_ && !faults_.health_lies;
        return json_answer(says_draining ? kUnavailable : kOk,
                           {{"status", says_draining ? "draining" : "ok"}});
    }
    ++received_;
    received_while_draining_ += draining_ ? 1 : 0;
    if (faults_.frozen) {
        const auto thawed = thawed_;
        thawed->wait();
    }
    const auto* kind = deployment_.kind_of(options_.service, request.method, request.target);
    if (kind == nullptr) {
        return json_answer(404, {{"error", "no such kind"}});
    }
    auto response = run(*kind, request, cancel);
    log_step("answered", request_id_of(request),
             {{"kind", kind->name},
              {"status", std::to_string(response.status)},
              {"not_run", response.fields.find(header::kNotRun) ? "yes" : "no"},
              {"body", response.status == kOk ? "" : response.body.prefix}});
    return response;
}

net::HttpResponse Backend::control(net::HttpRequest& request) {
    if (request.target == "/lab/counts") {
        return counts();
    }
    if (request.target == "/lab/drain") {
        drain();
        return json_answer(kOk, json::object());
    }
    return apply_control(request, [this](const json& faults) {
        faults_.slow_factor = faults.value("slow_factor", faults_.slow_factor);
        faults_.health_lies = faults.value("health_lies", faults_.health_lies);
        faults_.fail = faults.value("fail", faults_.fail);
        faults_.refused_share = faults.value("refused_share", faults_.refused_share);
        const bool was_frozen = std::exchange(faults_.frozen, faults.value("frozen", faults_.frozen));
        if (was_frozen && !faults_.frozen) {
            thawed_->set();
            thawed_ = std::make_shared<net::FiberEvent>();
        }
    });
}

net::HttpResponse Backend::counts() const {
    json kinds = json::object();
    for (const auto& [kind, requests] : counts_) {
        for (const auto& [request_id, count] : requests) {
            kinds[kind][request_id] = {{"started", count.started}, {"committed", count.committed}};
        }
    }
    return json_answer(kOk, {{"received", received_},
                             {"received_while_draining", received_while_draining_},
                             {"kinds", std::move(kinds)}});
}

net::HttpResponse Backend::refuse(const std::string& reason) const {
    auto response = json_answer(kUnavailable, {{"error", reason}});
    response.fields.add(std::string(header::kNotRun), "1");
    response.fields.add(std::string(header::kRetryAfter), "1");
    return response;
}

bool Backend::refuses_at_random() {
    return faults_.refused_share > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < faults_.refused_share;
}

bool Backend::take_slot(TimePoint deadline, net::CancelSignal& cancel) {
    if (slots_used_ < slots_) {
        ++slots_used_;
        return true;
    }
    const auto event = std::make_shared<net::FiberEvent>();
    waiting_.push_back(event);
    const net::CancelSubscription subscription(&cancel, [event] { event->set(); });
    event->wait_until(deadline);
    const auto place = std::find(waiting_.begin(), waiting_.end(), event);
    // return_slot() has removed the event from the queue and passed on its slot.
    const bool given = place == waiting_.end();
    if (!given) {
        waiting_.erase(place);
    }
    if (given && cancel.cancelled()) {
        return_slot();
        return false;
    }
    return given;
}

void Backend::return_slot() {
    if (waiting_.empty()) {
        --slots_used_;
        return;
    }
    const auto next = waiting_.front();
    waiting_.pop_front();
    next->set();
}

Duration Backend::work_time(const KindSpec& kind) {
    std::uniform_real_distribution<double> share(kMinWork, kMaxWork);
    return std::chrono::duration_cast<Duration>(kind.work_ms * share(random_) * faults_.slow_factor);
}

bool Backend::work(const KindSpec& kind, net::CancelSignal& cancel) {
    if (kind.work_ms == milliseconds(0)) {
        return true;
    }
    return sleep_until(TimePoint::clock::now() + work_time(kind), cancel);
}

net::HttpResponse Backend::run(const KindSpec& kind, net::HttpRequest& request, net::CancelSignal& cancel) {
    const auto deadline = TimePoint::clock::now() + timeout_of(request);
    std::error_code error;
    if (!net::read_whole(request.body, net::kMaxFetchedTextBytes, error)) {
        return refuse("the request broke off");
    }
    if (refuses_at_random() || (slots_used_ >= slots_ && waiting_.size() >= kQueue)) {
        return refuse("full");
    }
    if (!take_slot(deadline, cancel)) {
        return refuse("no slot in time");
    }
    const auto request_id = request_id_of(request);
    Counts& count = counts_[kind.name][request_id];
    const SlotLease lease(*this);
    ++count.started;
    log_step("started", request_id, {{"kind", kind.name}, {"count", std::to_string(count.started)}});
    if (!work(kind, cancel)) {
        return refuse("cancelled");
    }
    bool changed_something = false;
    for (const auto& name : kind.calls) {
        const auto& nested = *deployment_.kind(name);
        const auto outcome = call_nested(nested, request, deadline, cancel);
        if (outcome == NestedOutcome::kNotRun && !changed_something) {
            return refuse("nested call refused");
        }
        if (outcome != NestedOutcome::kWhole) {
            return json_answer(kUnavailable, {{"error", "nested call failed"}});
        }
        changed_something = changed_something || nested.method != "GET";
    }
    ++count.committed;
    if (faults_.fail) {
        return json_answer(kUnavailable, {{"error", "failed"}});
    }
    return net::make_response(kOk, "text/plain", make_answer_body(kind.name, request_id, kind.answer_bytes));
}

Backend::NestedOutcome Backend::call_nested(const KindSpec& kind, const net::HttpRequest& parent,
                                            TimePoint deadline, net::CancelSignal& cancel) {
    auto outcome = attempt_nested(kind, parent, deadline, cancel);
    bool may_have_run = outcome != NestedOutcome::kNotRun;
    for (unsigned retry = 0; retry < options_.layer_retries && outcome != NestedOutcome::kWhole; ++retry) {
        if (cancel.cancelled() || TimePoint::clock::now() >= deadline) {
            break;
        }
        outcome = attempt_nested(kind, parent, deadline, cancel);
        may_have_run = may_have_run || outcome != NestedOutcome::kNotRun;
    }
    return outcome == NestedOutcome::kNotRun && may_have_run ? NestedOutcome::kFailed : outcome;
}

Backend::NestedOutcome Backend::attempt_nested(const KindSpec& kind, const net::HttpRequest& parent,
                                               TimePoint deadline, net::CancelSignal& cancel) {
    auto request = net::make_request(kind.method, kind.path + "/nested");
    for (const auto name : {header::kContext, header::kTraceParent, header::kTimeout, header::kIdempotencyKey,
                            kRequestHeader}) {
        if (const auto value = parent.fields.find(name)) {
            request.fields.set(name, std::string(*value));
        }
    }
    net::ExchangeProgress progress;
    std::error_code error;
    auto response = caller_.call(kind.service, request, {deadline, &cancel}, progress, error);
    log_call_result("nested-answer", request_id_of(parent), kind.name, response, error);
    if (!response) {
        return progress.request_started ? NestedOutcome::kFailed : NestedOutcome::kNotRun;
    }
    const auto execution = response->fields.find(header::kExecution).value_or("");
    if (execution == "not-run" || response->fields.find(header::kNotRun)) {
        return NestedOutcome::kNotRun;
    }
    const auto body = net::read_whole(response->body, net::kMaxFetchedTextBytes, error);
    const bool whole =
        response->status == kOk && body &&
        check_answer_body(*body, kind.name, request_id_of(parent), kind.answer_bytes) == BodyCheck::kWhole;
    return whole ? NestedOutcome::kWhole : NestedOutcome::kFailed;
}

}  // namespace anisehold::lab
