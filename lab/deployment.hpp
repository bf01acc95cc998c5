/// @file
/// Description of a lab deployment: zones, services with their servers, and kinds of requests with their call
/// graph.
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
    milliseconds work_ms{10};  ///< Mean time in a slot, without nested calls.
    std::size_t answer_bytes = 256;
    double share = 0;                ///< Share of the clients' requests; 0 for kinds that only occur nested.
    bool keyed = false;              ///< Clients send an Idempotency-Key.
    std::vector<std::string> calls;  ///< Kinds of the nested calls, in sequence.
};

struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    milliseconds client_delay_ms{1};  ///< One-way delay between clients and the system.
    std::vector<ServiceSpec> services;
    std::vector<KindSpec> kinds;
    std::string table_csv;  ///< Initial table.

    const ServiceSpec* service(const std::string& name) const;
    const KindSpec* kind(const std::string& name) const;
    /// Returns the kind of a request to `service`: the one with the longest matching path.
    const KindSpec* kind_of(const std::string& service, const std::string& method,
                            const std::string& target) const;
};

/// Reads a deployment file; if it is malformed, prints a message to standard error and returns nothing.
std::optional<Deployment> load_deployment(const std::string& file_name);

}  // namespace anisehold::lab
