/// @file
/// HTTP requests from the operators' commands to a daemon's admin port.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/endpoint.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::cli {

/// Fetches and parses a JSON page. On failure, prints a message to standard error and returns nothing.
std::optional<nlohmann::json> fetch_json(boost::asio::io_context& io, const Endpoint& admin,
                                         const std::string& target);

}  // namespace anisehold::cli
