#include "lab/platform_server.hpp"

#include <boost/fiber/operations.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "net/event_loop.hpp"

namespace anisehold::lab {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kFailed = 500;
constexpr unsigned kUnavailable = 503;
constexpr const char* kHealthPath = "/health";
/// Precedes the duration of its work, in ms, in the target of a request.
constexpr std::string_view kWorkMark = "/work-";
constexpr milliseconds kPoll{5};
constexpr milliseconds kHeartbeatTimeout{1'000};
constexpr milliseconds kLongestHang{30'000};
constexpr milliseconds kDefaultDeadline{5'000};

/// A body source that fails at once, so that the connection is closed before the end of the response.
class CutBody final : public net::BodyReader {
  public:
    std::size_t read(char* /*data*/, std::size_t /*size*/, std::error_code& error) override {
        error = std::make_error_code(std::errc::connection_reset);
        return 0;
    }
};

net::HttpResponse cut_answer() {
    net::HttpResponse response;
    response.body.length = 1'000'000;
    response.body.rest = std::make_unique<CutBody>();
    return response;
}

std::string text_of(const net::HttpRequest& request, std::string_view name) {
    return std::string(request.fields.find(name).value_or(""));
}

TimePoint deadline_of(const net::HttpRequest& request) {
    const auto text = text_of(request, "Deadline-Milliseconds");
    long long left_ms = kDefaultDeadline.count();
    std::from_chars(text.data(), text.data() + text.size(), left_ms);
    return TimePoint::clock::now() + milliseconds(left_ms);
}

std::uint64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

PlatformServer::PlatformServer(boost::asio::io_context& io, PlatformServerOptions options)
    : options_(std::move(options)),
      io_(io),
      server_(make_listener()),
      control_(io, options_.control),
      outbound_(io, options_.outbound),
      born_ms_(unix_milliseconds()) {}

std::unique_ptr<net::HttpServer> PlatformServer::make_listener() {
    return std::make_unique<net::HttpServer>(
        io_, net::HttpServerLimits{},
        net::HttpServerHandlers{
            [this](net::HttpRequest& request, net::CancelSignal& cancel) { return handle(request, cancel); },
            [](ErrorKind /*kind*/) { return net::make_response(kFailed, "text/plain", ""); }});
}

void PlatformServer::crash() {
    if (!is_up_) {
        return;
    }
    is_up_ = false;
    if (crash_observer_) {
        crash_observer_();
    }
    server_->stop_accepting();
    server_->reset_connections();
    ended_servers_.push_back(std::move(server_));
    server_ = make_listener();
    net::EventLoop::spawn([this] {
        boost::this_fiber::sleep_for(options_.down_time);
        restart();
    });
}

void PlatformServer::restart() {
    if (!options_.keeps_instance) {
        options_.instance += "-" + std::to_string(++starts_);
    }
    born_ms_ = unix_milliseconds();
    sequence_ = 0;
    running_ = 0;
    draining_ = false;
    is_up_ = !server_->start(options_.listen);
}

std::error_code PlatformServer::start() {
    const auto error = server_->start(options_.listen);
    if (!error) {
        net::EventLoop::spawn([this] { send_heartbeats(); });
    }
    return error;
}

bool PlatformServer::send_heartbeat(bool draining) {
    const json body{
        {"born", born_ms_},
        {"address", options_.registered.text()},
        {"information",
         {{"service", options_.service},
          {"version", "v1"},
          {"zone", options_.zone},
          {"slots", options_.slots}}},
        {"status",
         {{"state", draining ? "draining" : "ready"}, {"sequence", ++sequence_}, {"coldRemaining", "0ms"}}}};
    return write_entry(options_.instance, body.dump()) == kOk;
}

void PlatformServer::send_heartbeats() {
    while (true) {
        if (is_up_) {
            send_heartbeat(draining_);
        }
        boost::this_fiber::sleep_for(options_.heartbeat_interval);
    }
}

bool PlatformServer::drain() {
    draining_ = true;
    return send_heartbeat(true);
}

void PlatformServer::deregister() {
    auto request = net::make_request("DELETE", "/-/instances/" + options_.instance);
    net::ExchangeProgress progress;
    std::error_code error;
    control_.exchange(request, {TimePoint::clock::now() + kHeartbeatTimeout}, progress, error);
}

unsigned PlatformServer::write_entry(const std::string& instance, const std::string& body) {
    auto request = net::make_request("PUT", "/-/instances/" + instance, body);
    request.fields.set("Content-Type", "application/json");
    net::ExchangeProgress progress;
    std::error_code error;
    const auto response =
        control_.exchange(request, {TimePoint::clock::now() + kHeartbeatTimeout}, progress, error);
    return response ? response->status : 0;
}

void PlatformServer::replace(const std::string& instance) {
    deregister();
    options_.instance = instance;
    draining_ = false;
    sequence_ = 0;
}

bool PlatformServer::make_calls(const std::string& id, TimePoint deadline) {
    for (const auto& call : options_.calls) {
        auto request = net::make_request("GET", call.target);
        request.fields.set("Host", call.host);
        request.fields.set("Request-Id",
                           id + ":call-" + options_.instance + "-" + std::to_string(++calls_made_));
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - TimePoint::clock::now());
        request.fields.set("Deadline-Milliseconds", std::to_string(std::max(1LL, to_milliseconds(left))));
        net::ExchangeProgress progress;
        std::error_code error;
        const auto response = outbound_.exchange(request, {deadline}, progress, error);
        if (!response || response->status != kOk) {
            return false;
        }
    }
    return true;
}

void PlatformServer::write_notice(net::HttpResponse& response) const {
    if (!faults.rate_limit.empty()) {
        response.fields.set("Server-Limit", faults.rate_limit);
    }
    if (faults.says_leaving) {
        response.fields.set("Server-Leaving", "1");
    }
    if (faults.slowness_percent > 0) {
        response.fields.set("Server-Load", load_text());
    }
}

std::string PlatformServer::load_text() const {
    const auto load = std::to_string(running_) + ",0," + std::to_string(options_.slots);
    return faults.slowness_percent > 0 ? load + "," + std::to_string(faults.slowness_percent) : load;
}

milliseconds PlatformServer::work_for(const std::string& target) const {
    auto work = options_.work;
    if (const auto at = target.find(kWorkMark); at != std::string::npos) {
        long long work_ms = work.count();
        std::from_chars(target.data() + at + kWorkMark.size(), target.data() + target.size(), work_ms);
        work = milliseconds(work_ms);
    }
    constexpr unsigned usual_percent = 100;
    return faults.slowness_percent > 0 ? work * faults.slowness_percent / usual_percent : work;
}

net::HttpResponse PlatformServer::answer_health() const {
    const bool is_well = !draining_ && !faults.says_leaving;
    auto response = net::make_response(is_well ? kOk : kUnavailable, "text/plain", "");
    write_notice(response);
    response.fields.set("Instance-Id", options_.instance);
    response.fields.set("Server-Load", load_text());
    return response;
}

net::HttpResponse PlatformServer::answer(unsigned status, const std::string& id,
                                         const std::string& body) const {
    auto response = net::make_response(status, "text/plain", body);
    response.fields.set("Request-Id", faults.answers_another ? "another" : id);
    write_notice(response);
    return response;
}

bool PlatformServer::declines_at_random() {
    return faults.declined_share > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < faults.declined_share;
}

net::HttpResponse PlatformServer::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    if (request.target == kHealthPath) {
        return answer_health();
    }
    ++arrivals_;
    const auto id = text_of(request, "Request-Id");
    const bool misdirected = text_of(request, "Expected-Instance") != options_.instance;
    const bool refused = faults.declines || declines_at_random() || running_ >= options_.slots;
    if (observer_) {
        observer_({text_of(request, "Expected-Instance"), options_.service, id, request.target,
                   !misdirected && !refused, text_of(request, "Tenant"),
                   request.fields.find("Authorization").has_value()});
    }
    if (misdirected) {
        return answer(kMisdirected, id, "");
    }
    if (refused) {
        auto refusal = answer(kUnavailable, id, "");
        if (faults.refusals_are_bare) {
            refusal.fields.remove("Server-Limit");
            refusal.fields.remove("Server-Leaving");
        }
        refusal.fields.set("Not-Executed", "1");
        return refusal;
    }
    return run(request, id, cancel);
}

void PlatformServer::count_run(const net::HttpRequest& request, const std::string& id) {
    ++running_;
    most_running_ = std::max(most_running_, running_);
    ++runs_[id];
    callers_[id] = text_of(request, "Caller-Service");
    tenants_[id] = text_of(request, "Tenant");
    keys_seen_ += request.fields.find("Authorization") ? 1 : 0;
}

bool PlatformServer::is_fatal(const std::string& target) const {
    return !faults.fatal_target.empty() && target.find(faults.fatal_target) != std::string::npos;
}

net::HttpResponse PlatformServer::run(const net::HttpRequest& request, const std::string& id,
                                      net::CancelSignal& cancel) {
    count_run(request, id);
    const auto deadline = deadline_of(request);
    if (is_fatal(request.target)) {
        boost::this_fiber::sleep_for(options_.fatal_after);
        crash();
        return cut_answer();
    }
    boost::this_fiber::sleep_for(work_for(request.target));
    const auto hang_ends = TimePoint::clock::now() + kLongestHang;
    while (faults.hangs && !cancel.cancelled() && TimePoint::clock::now() < hang_ends) {
        boost::this_fiber::sleep_for(kPoll);
    }
    const bool calls_served = make_calls(id, deadline);
    running_ -= running_ > 0 ? 1 : 0;  // A crash in the meantime has reset the count.
    if (faults.loses_answers) {
        return cut_answer();
    }
    auto response = answer(calls_served ? kOk : kFailed, id, options_.service + " " + request.target);
    if (!faults.forgets_signature) {
        response.fields.set("Server-Signature", options_.instance + "." + id);
    }
    return response;
}

}  // namespace anisehold::lab
