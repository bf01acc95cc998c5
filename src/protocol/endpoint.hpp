/// @file
/// IP address and port, as text and in messages. Host names are not accepted anywhere. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "protocol/serialize_all.hpp"

namespace anisehold {

/// A numeric IPv4 or IPv6 address with a port.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
    bool operator<(const Endpoint& other) const {
        return std::tie(ip, port) < std::tie(other.ip, other.port);
    }

    /// "127.0.0.1:8080" or "[::1]:8080".
    std::string text() const;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, ip, port);
    }
};

/// Parses "IPV4:PORT" or "[IPV6]:PORT"; empty for any other text.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace anisehold
