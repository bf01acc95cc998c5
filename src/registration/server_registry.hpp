/// @file
/// The servers that register at this sidecar by heartbeat. Owns the newest state of each, and what is
/// remembered of those that left; relies on the sidecar for time and for the messages, which platform/
/// decodes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/endpoint.hpp"
#include "protocol/strong_id.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::registration {

/// Which start of a server under one instance name it is: the later one has the greater number. The Unix time
/// of the start, in milliseconds; 0 if the server doesn't send it.
using ServerStart = Strong<struct ServerStartTag, std::uint64_t>;

/// What a server sends of itself in each heartbeat.
struct Heartbeat {
    std::string instance;  ///< A server that ended may come back under the same one.
    ServerStart start_time;
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1;              ///< Requests that it works on at the same time.
    bool draining = false;           ///< It ends soon and takes no new requests.
    std::uint64_t sequence = 0;      ///< Rises with each heartbeat, so that a late one is known.
    milliseconds cold_remaining{0};  ///< How much longer it is slow from its start.
};

/// What a heartbeat or a leave changed.
enum class RegistryChange {
    kNone,       ///< Late, or of a server that has left.
    kRefreshed,  ///< Nothing that others need to know at once.
    kAppeared,   ///< A new server takes requests, or a new start of a known one.
    kChanged,    ///< Slots or service differ.
    kDraining,   ///< It takes no new requests from now on.
    kLeft,
};

/// A registered server.
struct RegisteredServer {
    Heartbeat heartbeat;
    TimePoint last_seen;
    TimePoint cold_until;
    bool is_probed = false;  ///< It was asked for its health; its own heartbeat is awaited.
};

/// Keeps the newest state of each server. Draining and leaving are final for one start of it; a later start
/// replaces all that was known, an earlier one is late. Pure.
class ServerRegistry {
  public:
    RegistryChange on_heartbeat(TimePoint now, const Heartbeat& heartbeat);
    /// A server that said it was well when it was asked. Changes nothing if anything is known of the
    /// instance, or of its address.
    RegistryChange on_probed(TimePoint now, const Heartbeat& found);
    /// The server says in its answers that it ends soon, whatever its heartbeats say. Final, as draining is.
    RegistryChange on_leaving_answer(const std::string& instance);
    /// `start_time`: of the start that leaves; 0 means the one that is known.
    RegistryChange on_leave(TimePoint now, const std::string& instance, ServerStart start_time = {});
    /// The server has crashed: nothing is known of it until it registers again. False if nothing was.
    bool on_crash(const std::string& instance) { return servers_.erase(instance) > 0; }
    /// Forgets servers that fell silent for `silence`, found ones without a heartbeat after `probed_silence`,
    /// and what was remembered of those that left long ago. Returns the instances that fell silent.
    std::vector<std::string> expire(TimePoint now, Duration silence, Duration probed_silence);

    /// The server, if it takes new requests.
    const RegisteredServer* find_ready(const std::string& instance) const;
    /// Whether a server of `service` takes new requests.
    bool serves(const std::string& service) const;
    /// All servers that take new requests.
    std::vector<RegisteredServer> ready_servers() const;

  private:
    /// A start of a server that has left.
    struct LeftServer {
        TimePoint at;
        ServerStart start_time;
        /// Set if it never said so itself, but another one came to its address.
        bool was_displaced = false;
        std::uint64_t sequence = 0;     ///< Of its latest heartbeat, if it was displaced.
        unsigned heartbeats_since = 0;  ///< Heartbeats since then.
    };

    /// Whether the heartbeat is of a start after the one that left, or of one that is there after all. Counts
    /// it.
    bool is_back(const Heartbeat& heartbeat);
    RegistryChange register_start(TimePoint now, const Heartbeat& heartbeat);

    std::map<std::string, RegisteredServer> servers_;
    std::map<std::string, LeftServer> left_;
};

}  // namespace anisehold::registration
