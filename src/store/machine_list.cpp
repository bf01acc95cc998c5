#include "store/machine_list.hpp"

#include <nlohmann/json.hpp>

namespace anisehold::store {
namespace {

using nlohmann::json;

std::optional<std::string> label(const json& labels, const char* name) {
    const auto found = labels.find(name);
    if (found == labels.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

bool read_group(const json& group, std::vector<routing::ListedServer>& servers) {
    const bool shaped = group.is_object() && group.contains("targets") && group["targets"].is_array() &&
                        group.contains("labels") && group["labels"].is_object();
    if (!shaped) {
        return false;
    }
    const auto service = label(group["labels"], "service");
    const auto zone = label(group["labels"], "zone");
    const auto state = label(group["labels"], "state").value_or("live");
    if (!service || !zone) {
        return false;
    }
    for (const auto& target : group["targets"]) {
        const auto endpoint = target.is_string() ? parse_endpoint(target.get<std::string>()) : std::nullopt;
        if (!endpoint) {
            return false;
        }
        servers.push_back({*endpoint, *service, *zone, state != "live"});
    }
    return true;
}

}  // namespace

std::optional<std::vector<routing::ListedServer>> parse_machine_list(std::string_view json_text) {
    const auto groups = json::parse(json_text, nullptr, false);
    if (!groups.is_array()) {
        return std::nullopt;
    }
    std::vector<routing::ListedServer> servers;
    for (const auto& group : groups) {
        if (!read_group(group, servers)) {
            return std::nullopt;
        }
    }
    return servers;
}

MachineListClient::MachineListClient(boost::asio::io_context& io, const Endpoint& server, std::string path)
    : client_(io, server), path_(std::move(path)) {}

std::optional<std::vector<routing::ListedServer>> MachineListClient::fetch(milliseconds timeout_ms,
                                                                           std::error_code& error) {
    auto request = net::make_request("GET", path_);
    const auto text = net::fetch_text(client_, request, TimePoint::clock::now() + timeout_ms, error);
    if (!text) {
        return std::nullopt;
    }
    auto servers = parse_machine_list(*text);
    if (!servers) {
        error = std::make_error_code(std::errc::bad_message);
    }
    return servers;
}

}  // namespace anisehold::store
