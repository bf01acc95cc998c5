/// @file
/// A deployment of the lab: zones, services with their servers, kinds of requests with their call graph.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// A service and the size of each of its servers.
struct ServiceSpec {
    std::string name;
    unsigned servers = 3;
    unsigned slots = 8;
    unsigned connections = 110;
};

/// A kind of request to a service.
struct KindSpec {
    std::string name;
    std::string service;
    std::string method = "GET";
    std::string path;
    milliseconds work_ms{10};  ///< Average time in a slot, nested calls not counted.
    std::size_t answer_bytes = 256;
    double share = 0;                ///< Of the clients' requests; 0 for kinds that only occur nested.
    bool keyed = false;              ///< Clients send an Idempotency-Key.
    std::vector<std::string> calls;  ///< Names of kinds called one after the other.
};

struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    milliseconds client_delay_ms{1};  ///< One way, between clients and the system.
    std::vector<ServiceSpec> services;
    std::vector<KindSpec> kinds;
    std::string table_csv;  ///< The table to start with.

    const ServiceSpec* service(const std::string& name) const;
    const KindSpec* kind(const std::string& name) const;
    /// The kind that a request to `service` is of: the longest fitting path.
    const KindSpec* kind_of(const std::string& service, const std::string& method,
                            const std::string& target) const;
};

/// Reads a deployment file; nothing, after a message to standard error, if it is malformed.
std::optional<Deployment> load_deployment(const std::string& file_name);

}  // namespace anisehold::lab
