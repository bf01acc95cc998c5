/// @file
/// The table daemon's list of servers, in the JSON format of Prometheus HTTP service discovery. Owns the
/// connection to the list's server; relies on net/http_client.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "net/http_client.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::store {

/// Parses the list's JSON: an array of groups with "targets" and the labels "service", "zone" and "state"
/// ("live" or "leaving"). Empty if any part is malformed.
std::optional<std::vector<routing::ListedServer>> parse_machine_list(std::string_view json_text);

/// Fetches the list.
class MachineListClient {
  public:
    MachineListClient(boost::asio::io_context& io, const Endpoint& server, std::string path);
    /// The list; empty, with `error` set, on failure.
    std::optional<std::vector<routing::ListedServer>> fetch(milliseconds timeout_ms, std::error_code& error);

  private:
    net::HttpClient client_;
    std::string path_;
};

}  // namespace anisehold::store
