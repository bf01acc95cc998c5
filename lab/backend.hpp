/// @file
/// A simulated back-end server with slots, a queue, load shedding, nested calls, injected faults, and counts
/// of the requests that it ran.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "lab/deployment.hpp"
#include "lab/service_caller.hpp"
#include "net/fiber_event.hpp"
#include "net/http_server.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// Faults of a server. Set through the control endpoint by the names of the members.
struct BackendFaults {
    double slow_factor = 1;    ///< Factor of the duration of all work.
    bool frozen = false;       ///< Requests are accepted but get no response until the server is thawed.
    bool health_lies = false;  ///< The health endpoint always reports a healthy server.
    bool fail = false;         ///< The response after the work is 503.
    double refused_share = 0;  ///< Share of the requests that are refused at random on arrival.
};

struct BackendOptions {
    std::string service;
    unsigned layer_retries = 0;  ///< Retries by the server for each nested call.
};

/// Serves one server of a service.
class Backend {
  public:
    Backend(boost::asio::io_context& io, Deployment deployment, BackendOptions options, CallTargets targets);
    std::error_code start(const Endpoint& endpoint);
    /// Starts draining: the health endpoint reports it, and responses carry `Connection: close`.
    void drain();
    std::size_t in_flight() const { return server_.requests_in_flight(); }

  private:
    struct Counts {
        unsigned started = 0;
        unsigned committed = 0;
    };
    enum class NestedOutcome { kWhole, kNotRun, kFailed };
    class SlotLease;

    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse run(const KindSpec& kind, net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse control(net::HttpRequest& request);
    net::HttpResponse counts() const;
    net::HttpResponse refuse(const std::string& reason) const;
    bool refuses_at_random();
    bool take_slot(TimePoint deadline, net::CancelSignal& cancel);
    void return_slot();
    bool work(const KindSpec& kind, net::CancelSignal& cancel);
    NestedOutcome call_nested(const KindSpec& kind, const net::HttpRequest& parent, TimePoint deadline,
                              net::CancelSignal& cancel);
    NestedOutcome attempt_nested(const KindSpec& kind, const net::HttpRequest& parent, TimePoint deadline,
                                 net::CancelSignal& cancel);
    Duration work_time(const KindSpec& kind);

    Deployment deployment_;
    BackendOptions options_;
    ServiceCaller caller_;
    net::HttpServer server_;
    BackendFaults faults_;
    unsigned slots_ = 0;
    unsigned slots_used_ = 0;
    std::deque<std::shared_ptr<net::FiberEvent>> waiting_;
    std::shared_ptr<net::FiberEvent> thawed_ = std::make_shared<net::FiberEvent>();
    bool draining_ = false;
    std::map<std::string, std::map<std::string, Counts>> counts_;  // By kind, then by request id.
    std::uint64_t received_ = 0;
    std::uint64_t received_while_draining_ = 0;
    std::mt19937_64 random_;
};

}  // namespace anisehold::lab
