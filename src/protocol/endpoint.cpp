#include "protocol/endpoint.hpp"

#include <arpa/inet.h>

#include "protocol/number_text.hpp"

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
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parse_number<std::uint16_t>(text.substr(separator + 1));
    const std::string ip(host);
    if (!port || !is_address(bracketed ? AF_INET6 : AF_INET, ip)) {
        return std::nullopt;
    }
    return Endpoint{ip, *port};
}

}  // namespace anisehold
