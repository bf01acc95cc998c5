/// @file
/// What a sidecar sends its peers of itself and of the server beside it: one datagram. The order of the
/// fields is the encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "overload/service_pressure.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"

namespace anisehold::membership {

/// The server beside a daemon, as its gate sees it.
struct ServerRecord {
    std::string instance;  ///< A server that ended may come back under the same one.
    std::string service;
    std::uint64_t start_time =
        0;                    ///< Tells its starts apart: the later one has the greater number; 0: unknown.
    unsigned slots = 0;       ///< Requests that it works on at the same time.
    unsigned in_flight = 0;   ///< Requests that the gate has running there.
    unsigned queued = 0;      ///< Requests waiting at the gate.
    unsigned limit = 0;       ///< Most requests that run there at the same time, by its slots and its rate.
    unsigned latency_us = 0;  ///< Moving average of its answers' time.
    unsigned cold_ms = 0;     ///< How much longer it is slow from its start.
    unsigned failed_percent = 0;  ///< Share of its latest requests that it failed.
    unsigned busy_percent = 0;    ///< Mean of `in_flight` over the last second or so, as a share of `limit`.

    bool operator==(const ServerRecord&) const = default;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, instance, service, start_time, slots, in_flight, queued, limit, latency_us,
                      cold_ms, failed_percent, busy_percent);
    }
};

/// One daemon. Sent by itself only, never passed on by others.
struct PeerRecord {
    std::string name;
    std::string zone;
    std::uint64_t boot_id = 0;    ///< Random at each start; a restarted process has another one.
    std::uint64_t sequence = 0;   ///< Rises with each record of one boot.
    std::uint32_t uptime_ms = 0;  ///< Since the sender's socket for records was opened.
    Endpoint call;                ///< Where peers send requests for the server (TCP).
    Endpoint gossip;              ///< Where records are sent to (UDP).
    bool leaving = false;         ///< A planned stop has begun; no new requests.
    std::uint64_t configuration_version = 0;
    bool watches_store = false;              ///< The sender has a working watch of the configuration.
    std::vector<std::string> client_routes;  ///< Routes that the sender is sure clients call.
    std::vector<ServerRecord> servers;       ///< Servers that take requests; at most a few.
    std::vector<overload::ServicePressure> pressures;  ///< Services that lack capacity; empty in calm times.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, name, zone, boot_id, sequence, uptime_ms, call, gossip, leaving,
                      configuration_version, watches_store, client_routes, servers, pressures);
    }
};

/// Encodes a record for one datagram.
std::string encode(const PeerRecord& record);
/// Nothing if the bytes aren't a record.
std::optional<PeerRecord> decode_peer_record(std::string_view bytes);

}  // namespace anisehold::membership
