/// @file
/// The servers that register at this sidecar by heartbeat. Owns the latest state of each server, and records
/// of servers that left; relies on the sidecar for time and messages, which platform/ decodes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/endpoint.hpp"
#include "protocol/strong_id.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::registration {

/// Identifies one start of a server under an instance name: a later start has a greater number. The Unix time
/// of the start in milliseconds; 0 if the server does not send it.
using ServerStart = Strong<struct ServerStartTag, std::uint64_t>;

/// The contents of a server's heartbeat.
struct Heartbeat {
    std::string instance;  ///< A restarted server may use the same instance name.
    ServerStart start_time;
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1;              ///< Number of requests that the server processes concurrently.
    bool draining = false;           ///< The server ends soon and takes no new requests.
    std::uint64_t sequence = 0;      ///< Increases with each heartbeat, so that a late one is detected.
    milliseconds cold_remaining{0};  ///< Remaining time of the server's slow start-up phase.
};

/// The change caused by a heartbeat or a leave.
enum class RegistryChange {
    kNone,       ///< Late, or from a server that has left.
    kRefreshed,  ///< No change that other daemons need to know at once.
    kAppeared,   ///< A new server, or a new start of a known one, takes requests.
    kChanged,    ///< Slots, service or address differ.
    kDraining,   ///< The server takes no new requests from now on.
    kLeft,
};

struct RegisteredServer {
    Heartbeat heartbeat;
    TimePoint last_seen;
    TimePoint cold_until;
    bool is_probed = false;  ///< Found by a health probe; its first heartbeat has not arrived yet.
};

/// Keeps the latest state of each server. Draining and leaving are final for one start of a server; a later
/// start replaces all earlier state, and messages of an earlier start are ignored as late. Pure.
class ServerRegistry {
  public:
    RegistryChange on_heartbeat(TimePoint now, const Heartbeat& heartbeat);
    /// Adds a server that reported itself healthy when probed. Changes nothing if the instance or its address
    /// is already known.
    RegistryChange on_probed(TimePoint now, const Heartbeat& found);
    /// The server's responses state that it ends soon, whatever its heartbeats say. Final, like draining.
    RegistryChange on_leaving_answer(const std::string& instance);
    /// `start_time`: the start that leaves; 0 means the known one.
    RegistryChange on_leave(TimePoint now, const std::string& instance, ServerStart start_time = {});
    /// The server has crashed: removes it until it registers again. Returns false if it was not registered.
    bool on_crash(const std::string& instance) { return servers_.erase(instance) > 0; }
    /// Removes servers without a heartbeat for `silence`, probed servers without a first heartbeat after
    /// `probed_silence`, and old records of servers that left. Returns the instances removed as silent.
    std::vector<std::string> expire(TimePoint now, Duration silence, Duration probed_silence);

    /// Returns the server if it takes new requests.
    const RegisteredServer* find_ready(const std::string& instance) const;
    /// Whether a server of `service` takes new requests.
    bool serves(const std::string& service) const;
    /// Returns all servers that take new requests.
    std::vector<RegisteredServer> ready_servers() const;

  private:
    /// A start of a server that has left.
    struct LeftServer {
        TimePoint at;
        ServerStart start_time;
        /// Set if the server did not report leaving itself, but another server registered with its address.
        bool was_displaced = false;
        std::uint64_t sequence = 0;     ///< Sequence of its latest heartbeat, if it was displaced.
        unsigned heartbeats_since = 0;  ///< Number of heartbeats since it was displaced.
    };

    /// Whether the heartbeat belongs to a later start than the one that left, or to a displaced server that
    /// is still running. Counts the heartbeat.
    bool is_back(const Heartbeat& heartbeat);
    RegistryChange register_start(TimePoint now, const Heartbeat& heartbeat);

    std::map<std::string, RegisteredServer> servers_;
    std::map<std::string, LeftServer> left_;
};

}  // namespace anisehold::registration
