/// @file
/// The local servers: their registrations, and the gate state of each.
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

/// Owns the registry (registration/server_registry, whose rules decide which servers are registered) and one
/// `GateServer` for each server that has been sent a request.
class GateServers {
  public:
    explicit GateServers(SidecarContext& context) : context_(context) {}

    /// Processes a registration or a leave.
    registration::RegistryChange on_registration(TimePoint now, const RegistrationCall& call);
    /// Registers a local server that was found healthy by a probe.
    registration::RegistryChange on_probed(TimePoint now, const registration::Heartbeat& found);
    /// Records that a server announced in a response that it is leaving; returns true if this is new.
    bool on_leaving_answer(const std::string& instance);
    /// Discards all state of a server that has crashed.
    void on_crash(const std::string& instance);
    /// Refuses all requests and reservations that wait for a slot.
    void refuse_waiting();
    /// Removes servers whose heartbeats have stopped.
    void expire(TimePoint now);

    bool is_ready(const std::string& instance) const { return registry_.find_ready(instance) != nullptr; }
    /// Whether any server belongs to `service`; cheaper than `records`, which builds strings.
    bool serves(const std::string& service) const { return registry_.serves(service); }
    /// Returns the server if it accepts new requests, else null.
    std::shared_ptr<GateServer> find(const std::string& instance);
    /// Number of slots of the server; 0 if it doesn't accept requests.
    unsigned slots_of(const std::string& instance) const;
    /// Returns the rate limit stated in the server's responses, if any.
    std::optional<RequestRate> rate_limit(const std::string& instance) const;
    /// Returns the records, for peers, of the servers that accept requests.
    std::vector<membership::ServerRecord> records(TimePoint now) const;

  private:
    /// Applies a changed number of slots.
    void resize_gate(const registration::Heartbeat& heartbeat);
    admission::GateOptions gate_options() const;
    std::unique_ptr<admission::ConcurrencyLimit> make_limit(unsigned slots) const;

    SidecarContext& context_;
    registration::ServerRegistry registry_;
    std::map<std::string, std::shared_ptr<GateServer>> servers_;
};

}  // namespace anisehold::sidecar
