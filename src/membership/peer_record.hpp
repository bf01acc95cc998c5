/// @file
/// The datagram in which a sidecar reports itself and its local servers to its peers. Owns the message
/// layout: the order of the fields is the encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fairness/caller_demand.hpp"
#include "overload/offered_report.hpp"
#include "overload/service_pressure.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"
#include "protocol/slow_percent.hpp"

namespace anisehold::membership {

/// A daemon's local server, as its gate sees it.
struct ServerRecord {
    std::string instance;  ///< May be reused by a restarted server.
    std::string service;
    std::uint64_t start_time = 0;  ///< Greater for later starts of an instance; 0: unknown.
    unsigned slots = 0;            ///< Number of requests that the server processes concurrently.
    unsigned in_flight = 0;        ///< Requests in flight from the gate to the server.
    unsigned queued = 0;           ///< Requests queued at the gate.
    unsigned limit = 0;            ///< Maximum concurrent requests, by the server's slots and rate.
    unsigned latency_us = 0;       ///< Moving average of the server's response time.
    unsigned cold_ms = 0;          ///< Remaining warm-up time after the server's start.
    unsigned failed_percent = 0;   ///< Share of recent requests that the server failed.
    unsigned busy_percent = 0;     ///< Mean of `in_flight` over the last second or so, as a share of `limit`.

    // Sent in the record's shortage report.
    unsigned slow_percent = kUsualSlowPercent;  ///< Present duration of work, in percent of the usual one.
    unsigned declined_percent = 0;  ///< Share of arrivals that the server declines whatever its load.

    bool operator==(const ServerRecord&) const = default;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, instance, service, start_time, slots, in_flight, queued, limit, latency_us,
                      cold_ms, failed_percent, busy_percent);
    }
};

/// What the gate of one server observes beyond its load.
struct ServerCondition {
    std::string instance;
    unsigned slow_percent = kUsualSlowPercent;
    unsigned declined_percent = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, instance, slow_percent, declined_percent);
    }
};

/// Additional report of a daemon in a deployment that must bear the loss of a zone. Follows the other fields
/// of a record, and is omitted when it is empty, so that records of other deployments keep their bytes.
struct ShortageReport {
    std::vector<ServerCondition> servers;  ///< Servers that differ from the defaults.
    /// For the capacity forecast. Follows the other fields in sections of its own, which are omitted when
    /// they are empty, so that reports without them keep their bytes.
    overload::OfferedReport offered;
    /// Demand of groups of callers; a section like those of `offered`.
    fairness::DemandReport callers;

    bool empty() const { return servers.empty() && offered.empty() && callers.empty(); }

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, servers);
    }
};

/// State of one daemon. Sent only by the daemon itself, never forwarded by others.
struct PeerRecord {
    std::string name;
    std::string zone;
    std::uint64_t boot_id = 0;    ///< Random; differs after each restart.
    std::uint64_t sequence = 0;   ///< Incremented with each record of one boot.
    std::uint32_t uptime_ms = 0;  ///< Time since the sender opened its socket for records.
    Endpoint call;                ///< Address for peers' requests to the local servers (TCP).
    Endpoint gossip;              ///< Address for records (UDP).
    bool leaving = false;         ///< A planned shutdown has begun; the daemon accepts no new requests.
    std::uint64_t configuration_version = 0;
    bool watches_store = false;              ///< The sender has a working configuration watch.
    std::vector<std::string> client_routes;  ///< Routes that the sender knows are called by clients.
    std::vector<ServerRecord> servers;       ///< Servers that accept requests; at most a few.
    std::vector<overload::ServicePressure> pressures;  ///< Services short of capacity.
    ShortageReport shortage;  ///< Except `servers`, which `encode` and `decode_peer_record` copy.

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, name, zone, boot_id, sequence, uptime_ms, call, gossip, leaving,
                      configuration_version, watches_store, client_routes, servers, pressures);
    }
};

std::string encode(const PeerRecord& record);
/// Decodes a record; empty if the bytes are malformed.
std::optional<PeerRecord> decode_peer_record(std::string_view bytes);

}  // namespace anisehold::membership
