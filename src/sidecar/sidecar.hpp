/// @file
/// The sidecar: one process beside one server, between all callers and all servers of a deployment.
#pragma once

#include <memory>
#include <string>

#include "config/sidecar_settings.hpp"
#include "net/event_loop.hpp"
#include "observability/suspension.hpp"
#include "registration/refusal_limit.hpp"
#include "sidecar/wire_dialect.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Puts the parts together, starts and stops them.
class Sidecar {
  public:
    /// `settings_file` is read again on SIGHUP and when it changes.
    Sidecar(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
            config::SidecarSettings settings, std::string settings_file);
    ~Sidecar();
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /// Binds all addresses and starts serving; false if one can't be bound.
    bool start();
    /// Planned stop: leaves the fleet, finishes what is in flight, and returns within the grace time.
    void stop();

  private:
    struct Parts;

    /// Takes a peer's message about tenants; false if it is something else.
    bool receive_message(std::string_view bytes);
    net::HttpResponse handle_hop(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse handle_registration(net::HttpRequest& request);
    net::HttpResponse handle_readiness(net::HttpRequest& request);
    net::HttpResponse handle_metrics(net::HttpRequest& request);
    /// Lists requests that crash servers, or lifts the verdict on one.
    net::HttpResponse handle_suspects(std::string_view method, std::string_view digest_text);
    bool is_ready() const;
    bool is_busy() const;
    /// Waits until no request was in progress for a while, or `latest` has come.
    void wait_until_quiet(TimePoint latest);
    /// Takes the server beside into service before its first heartbeat, if it is well.
    void find_server();
    void watch_settings();
    void reload_settings();
    /// Logs that the machine was suspended since the last call.
    void note_suspension();

    std::unique_ptr<Parts> parts_;
    std::string settings_file_;
    std::string settings_text_;
    registration::RefusalLimit refusals_;
    observability::SuspensionWatch suspension_;
};

}  // namespace anisehold::sidecar
