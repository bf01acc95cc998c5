#include "cli/admin_client.hpp"

#include <iostream>

#include "net/http_client.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::cli {
namespace {

constexpr seconds kTimeout{3};

}  // namespace

std::optional<nlohmann::json> fetch_json(boost::asio::io_context& io, const Endpoint& admin,
                                         const std::string& target) {
    net::HttpClient client(io, admin);
    auto request = net::make_request("GET", target);
    std::error_code error;
    const auto text = net::fetch_text(client, request, TimePoint::clock::now() + kTimeout, error);
    if (!text) {
        std::cerr << admin.text() << target << ": " << error.message() << "\n";
        return std::nullopt;
    }
    auto object = nlohmann::json::parse(*text, nullptr, false);
    if (!object.is_object()) {
        std::cerr << admin.text() << target << ": the response is not a JSON object\n";
        return std::nullopt;
    }
    return object;
}

}  // namespace anisehold::cli
