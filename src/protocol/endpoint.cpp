#include "protocol/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace anisehold {
namespace {

bool is_address(int family, const std::string& text) {
    in6_addr buffer{};
    return inet_pton(family, text.c_str(), &buffer) == 1;
}

}  // namespace

std::string Endpoint::text() const {
    const bool is_v6 = ip.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + ip + "]" : ip;
    return host + ":" + std::to_string(port);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const auto separator = text.rfind(':');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, separator);
    const auto port_text = text.substr(separator + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    Endpoint endpoint{std::string(host), 0};
    const auto [end, error] =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), endpoint.port);
    const bool port_valid = error == std::errc{} && end == port_text.data() + port_text.size();
    if (!port_valid || !is_address(bracketed ? AF_INET6 : AF_INET, endpoint.ip)) {
        return std::nullopt;
    }
    return endpoint;
}

}  // namespace anisehold
