#include "lab/load.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/answer_body.hpp"
#include "lab/stand_in_log.hpp"
#include "net/event_loop.hpp"
#include "protocol/call_context.hpp"
#include "protocol/message_digest.hpp"

namespace anisehold::lab {
namespace {

using nlohmann::json;

constexpr milliseconds kHardPause{10};
constexpr milliseconds kDefaultComeBack{200};
constexpr unsigned kOk = 200;

/// Returns 32 hexadecimal digits that identify the request.
std::string trace_id_for(const std::string& id) {
    const std::string material = message_authentication_code("trace", id);
    return to_hex(material);
}

milliseconds come_back_after(const net::HttpResponse& response) {
    const auto problem = json::parse(response.body.prefix, nullptr, false);
    const bool named = problem.is_object() && problem.contains("retry_after_ms") &&
                       problem["retry_after_ms"].is_number_integer();
    return named ? milliseconds(problem["retry_after_ms"].get<long long>()) : kDefaultComeBack;
}

}  // namespace

Load::Load(boost::asio::io_context& io, Deployment deployment, LoadOptions options, CallTargets targets)
    : deployment_(std::move(deployment)),
      options_(std::move(options)),
      caller_(io, std::move(targets), std::random_device{}()),
      random_(std::random_device{}()) {}

const KindSpec& Load::pick_kind() {
    if (!options_.only_kind.empty()) {
        return *deployment_.kind(options_.only_kind);
    }
    std::vector<double> shares;
    for (const auto& kind : deployment_.kinds) {
        shares.push_back(kind.share);
    }
    std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
    return deployment_.kinds[pick(random_)];
}

bool Load::run() {
    started_ = TimePoint::clock::now();
    auto next = started_;
    while (next - started_ < options_.duration_ms) {
        boost::this_fiber::sleep_until(next);
        const auto& kind = pick_kind();
        const auto id = options_.id_prefix + std::to_string(++sent_);
        ++running_;
        net::EventLoop::spawn([this, &kind, id] {
            run_request(kind, id);
            --running_;
        });
        std::exponential_distribution<double> gap(options_.rate_per_second);
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
    }
    while (running_ > 0) {
        boost::this_fiber::sleep_for(kHardPause);
    }
    print_summary();
    return std::all_of(results_.begin(), results_.end(),
                       [](const auto& entry) { return entry.second.wrong == 0; });
}

void Load::run_request(const KindSpec& kind, const std::string& id) {
    const auto arrival = TimePoint::clock::now();
    const auto deadline = arrival + options_.client_timeout_ms;
    ++results_[kind.name].sent;
    Attempt last;
    for (unsigned count = 0; count <= options_.client_retries; ++count) {
        ++results_[kind.name].attempts;
        last = attempt(kind, id, deadline);
        const auto pause = options_.hard ? kHardPause : last.retry_after;
        const bool give_up = last.final_answer || TimePoint::clock::now() + pause >= deadline;
        if (give_up) {
            break;
        }
        if (count < options_.client_retries) {
            boost::this_fiber::sleep_for(pause);
        }
    }
    KindResult& result = results_[kind.name];
    if (last.not_run) {
        not_run_ids_.push_back(id);
    }
    switch (last.outcome) {
        case RequestOutcome::kWhole:
            ++result.whole;
            result.latencies.add(
                std::chrono::duration<double, std::milli>(TimePoint::clock::now() - arrival).count());
            break;
        case RequestOutcome::kRefused:
            ++result.refused;
            break;
        case RequestOutcome::kFailed:
            ++result.failed;
            break;
        case RequestOutcome::kWrong:
            ++result.wrong;
            break;
    }
}

Load::Attempt Load::attempt(const KindSpec& kind, const std::string& id, TimePoint deadline) {
    const auto delay = options_.client_delay ? deployment_.client_delay_ms : milliseconds(0);
    auto request = net::make_request(kind.method, kind.path + "/" + id);
    request.fields.set(kRequestHeader, id);
    // A retry keeps the trace id of its request, which identifies it as a retry.
    request.fields.set(header::kTraceParent, make_trace_parent(trace_id_for(id), "0000000000000001"));
    if (kind.keyed) {
        request.fields.set(header::kIdempotencyKey, id);
    }
    if (delay > milliseconds(0)) {
        boost::this_fiber::sleep_for(delay);
    }
    net::ExchangeProgress progress;
    std::error_code error;
    log_step("sent", id, {{"kind", kind.name}});
    auto response = caller_.call(kind.service, request, {deadline, nullptr}, progress, error);
    log_call_result("client-answer", id, kind.name, response, error);
    if (delay > milliseconds(0)) {
        boost::this_fiber::sleep_for(delay);
    }
    if (!response) {
        Attempt result;
        result.not_run = !progress.request_started && options_.client_retries == 0;
        return result;
    }
    return classify(kind, id, *response);
}

Load::Attempt Load::classify(const KindSpec& kind, const std::string& id, net::HttpResponse& response) const {
    Attempt result;
    if (response.status != kOk) {
        const auto execution = response.fields.find(header::kExecution).value_or("");
        result.outcome = !net::is_server_error(response.status) || response.fields.find(header::kError) ||
                                 response.fields.find(header::kNotRun)
                             ? RequestOutcome::kRefused
                             : RequestOutcome::kFailed;
        result.not_run = execution == "not-run";
        result.final_answer =
            !net::is_server_error(response.status) && response.status != 409 && response.status != 408;
        result.retry_after = come_back_after(response);
        return result;
    }
    std::error_code error;
    const auto body = net::read_whole(response.body, net::kMaxFetchedTextBytes, error);
    if (!body) {
        return result;
    }
    result.final_answer = true;
    const auto check = check_answer_body(*body, kind.name, id, kind.answer_bytes);
    result.outcome = check == BodyCheck::kWhole ? RequestOutcome::kWhole : RequestOutcome::kWrong;
    return result;
}

void Load::print_summary() const {
    json kinds = json::object();
    KindResult total;
    for (const auto& [name, result] : results_) {
        kinds[name] = {{"sent", result.sent},
                       {"attempts", result.attempts},
                       {"whole", result.whole},
                       {"refused", result.refused},
                       {"failed", result.failed},
                       {"wrong", result.wrong},
                       {"p50_ms", result.latencies.percentile_ms(0.5)},
                       {"p99_ms", result.latencies.percentile_ms(0.99)}};
        total.sent += result.sent;
        total.attempts += result.attempts;
        total.whole += result.whole;
        total.refused += result.refused;
        total.failed += result.failed;
        total.wrong += result.wrong;
        total.latencies.add(result.latencies);
    }
    const json summary{{"sent", total.sent},
                       {"attempts", total.attempts},
                       {"whole", total.whole},
                       {"refused", total.refused},
                       {"failed", total.failed},
                       {"wrong", total.wrong},
                       {"p50_ms", total.latencies.percentile_ms(0.5)},
                       {"p99_ms", total.latencies.percentile_ms(0.99)},
                       {"kinds", std::move(kinds)},
                       {"not_run_ids", not_run_ids_}};
    std::cout << summary.dump() << "\n";
}

}  // namespace anisehold::lab
