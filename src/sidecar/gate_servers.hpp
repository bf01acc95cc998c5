/// @file
/// The servers beside this daemon: who is registered, and what the gate keeps of each.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/server_gate.hpp"
#include "membership/peer_record.hpp"
#include "registration/server_registry.hpp"
#include "sidecar/gate_server.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Owns the registry (registration/server_registry, whose rules decide who is a server) and one `GateServer`
/// for each server that has been sent a request.
class GateServers {
  public:
    explicit GateServers(SidecarContext& context) : context_(context) {}

    /// A server registered, or leaves.
    registration::RegistryChange on_registration(TimePoint now, const RegistrationCall& call);
    /// The server beside was asked for its health and is well.
    registration::RegistryChange on_probed(TimePoint now, const registration::Heartbeat& found);
    /// The server says in an answer that it leaves; true if that is new.
    bool on_leaving_answer(const std::string& instance);
    /// The server has crashed: nothing that is known of it holds any more.
    void on_crash(const std::string& instance);
    /// Drops servers that fell silent.
    void expire(TimePoint now);

    bool is_ready(const std::string& instance) const { return registry_.find_ready(instance) != nullptr; }
    /// Whether a server is one of `service`; cheaper than `records`, which makes texts.
    bool serves(const std::string& service) const { return registry_.serves(service); }
    /// The server, if it takes new requests; null otherwise.
    std::shared_ptr<GateServer> find(const std::string& instance);
    /// The rate that the server's answers name, if they do.
    std::optional<RequestRate> rate_limit(const std::string& instance) const;
    /// The servers that take requests, for peers.
    std::vector<membership::ServerRecord> records(TimePoint now) const;

  private:
    /// The server's number of slots has changed.
    void resize_gate(const registration::Heartbeat& heartbeat);
    admission::GateOptions gate_options() const;
    std::unique_ptr<admission::ConcurrencyLimit> make_limit(unsigned slots) const;

    SidecarContext& context_;
    registration::ServerRegistry registry_;
    std::map<std::string, std::shared_ptr<GateServer>> servers_;
};

}  // namespace anisehold::sidecar
