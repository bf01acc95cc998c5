/// @file
/// The gate of the server beside this daemon: registration, admission, and the exchange with the server.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/server_gate.hpp"
#include "connection/connect_backoff.hpp"
#include "connection/idle_limit.hpp"
#include "hop/hop_header.hpp"
#include "membership/peer_record.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "overload/time_weighted_mean.hpp"
#include "registration/server_registry.hpp"
#include "selection/failure_share.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/crash_watch.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/suspect_queue.hpp"

namespace anisehold::sidecar {

/// All requests for this machine's server pass here, so its state is known exactly.
class LocalGate {
  public:
    LocalGate(SidecarContext& context, CrashExchange& crashes) : context_(context), crashes_(crashes) {}

    /// `listener` is called when the server beside has crashed.
    void set_crash_listener(std::function<void()> listener) { crash_listener_ = std::move(listener); }

    /// Runs a request at the server that `call` names, or refuses it. Blocks the fiber; meanwhile `progress`
    /// tells whether the server may have been sent anything.
    GateAnswer run(net::HttpRequest request, const hop::HopRequest& call, net::CancelSignal* cancel,
                   net::ExchangeProgress& progress);

    registration::RegistryChange on_registration(TimePoint now, const RegistrationCall& call);
    /// The server beside was asked for its health and is well.
    registration::RegistryChange on_found(TimePoint now, const registration::Heartbeat& found);
    /// Drops servers that fell silent; true if there were any.
    bool expire(TimePoint now);

    /// Whether the server beside is one of `service`; cheaper than `records`, which makes texts.
    bool serves(const std::string& service) const { return registry_.serves(service); }
    /// The servers that take requests, for peers.
    std::vector<membership::ServerRecord> records(TimePoint now) const;
    std::size_t in_flight() const { return in_flight_; }
    /// Share of the requests at the server that are repeats, or made by runs that are.
    double retry_share() const;

  private:
    struct Waiter {
        net::FiberEvent decided;
        bool admitted = false;
    };
    struct Server {
        Server(std::unique_ptr<admission::ConcurrencyLimit> limit, boost::asio::io_context& io,
               const Endpoint& address, const net::HttpPoolLimits& pool,
               const admission::GateOptions& options)
            : gate(std::move(limit), options), client(io, address, pool), crash(io, client) {}

        admission::ServerGate gate;
        overload::TimeWeightedMean running;  ///< Requests in flight.
        net::HttpClient client;
        CrashWatch crash;
        SuspectQueue suspects;
        std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        Duration latency{};  ///< Moving average of answers.
        selection::FailureShare failures;
        connection::IdleLimit idle_limit;  ///< Of kept connections.
        connection::ConnectBackoff backoff;
    };

    /// A server's slots are others than before.
    void resize_gate(const registration::Heartbeat& heartbeat);
    admission::GateOptions gate_options() const;
    std::unique_ptr<admission::ConcurrencyLimit> make_limit(unsigned slots) const;
    std::shared_ptr<Server> server_for(const registration::RegisteredServer& registered);
    static std::optional<GateAnswer> wait_for_admission(Server& server, const hop::HopRequest& call,
                                                        std::uint64_t id, TimePoint deadline,
                                                        net::CancelSignal* cancel);
    GateAnswer exchange(Server& server, net::HttpRequest& request, const hop::HopRequest& call,
                        TimePoint deadline, net::CancelSignal* cancel, net::ExchangeProgress& progress);
    /// Sends the request once. A kept connection that is lost before any answer teaches the limit of rest.
    std::optional<net::HttpResponse> send_once(Server& server, net::HttpRequest& request,
                                               const net::ExchangeOptions& options,
                                               net::ExchangeProgress& progress, std::error_code& error) const;
    /// The connection of a request broke: tells of the server's end, if that was the cause. Blocks the fiber.
    void look_for_crash(Server& server, const hop::HopRequest& call);
    /// The turn of a request that is a suspect, or what it is refused with. Blocks the fiber.
    std::optional<SuspectQueue::Turn> take_turn(Server& server, const RequestIdentity& identity,
                                                const hop::HopRequest& call, TimePoint arrived,
                                                net::CancelSignal* cancel) const;
    /// Runs a request that was admitted.
    GateAnswer run_admitted(Server& server, std::uint64_t id, net::HttpRequest& request,
                            const RequestIdentity& identity, const hop::HopRequest& call, TimePoint deadline,
                            net::CancelSignal* cancel, net::ExchangeProgress& progress);
    void note_use(Server& server, TimePoint now) const;
    /// Takes in what the end of a request tells of the server.
    static void observe(Server& server, TimePoint started, TimePoint now, const GateAnswer& answer,
                        bool cancelled);
    void finish(Server& server, std::uint64_t id, const std::string& instance, TimePoint started,
                const GateAnswer& answer, bool cancelled);
    /// A server that failed while calls of its machine were refused for overload has most likely failed for
    /// that: its own load says nothing, and the work done for the request is lost.
    void mark_overload_below(TimePoint started, GateAnswer& answer) const;
    void fill_load(const Server& server, hop::HopResult& result) const;
    void log(const std::string& request_id, const RequestDigest& digest, const hop::HopRequest& call,
             const GateAnswer& answer, TimePoint arrived, Duration waited) const;

    SidecarContext& context_;
    CrashExchange& crashes_;
    std::function<void()> crash_listener_;
    registration::ServerRegistry registry_;
    std::map<std::string, std::shared_ptr<Server>> servers_;
    std::uint64_t next_id_ = 1;
    std::size_t in_flight_ = 0;
    unsigned running_ = 0;          ///< Requests at the server.
    unsigned running_retries_ = 0;  ///< The sum of their `repeat_percent`.
};

}  // namespace anisehold::sidecar
