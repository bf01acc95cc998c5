#include "sidecar/server_probe.hpp"

#include "net/http_client.hpp"

namespace anisehold::sidecar {
namespace {

/// Timeout of the probe; as long as a server waits for the acknowledgement of a heartbeat.
constexpr milliseconds kProbeTimeout{1'000};
/// Slots assumed until the first heartbeat if the health response doesn't state them. A low value, since a
/// gate that is too narrow for a second costs less than an overloaded server.
constexpr unsigned kDefaultSlots = 8;

}  // namespace

std::optional<HealthAnswer> probe_local_server(const SidecarContext& context,
                                               const routing::Configuration& configuration) {
    const auto& settings = context.settings;
    const auto terms = configuration.services.find(settings.service);
    if (settings.server.port == 0 || terms == configuration.services.end() ||
        terms->second.health_path.empty()) {
        return std::nullopt;
    }
    net::HttpClient client(context.io, settings.server);
    auto request = net::make_request("GET", terms->second.health_path);
    net::ExchangeProgress progress;
    std::error_code error;
    const auto response =
        client.exchange(request, {TimePoint::clock::now() + kProbeTimeout}, progress, error);
    return response ? context.dialect.read_health(*response) : std::nullopt;
}

registration::Heartbeat heartbeat_of(const SidecarContext& context, const HealthAnswer& health) {
    registration::Heartbeat found;
    found.instance = health.instance;
    found.service = context.settings.service;
    found.address = context.settings.server;
    found.zone = context.settings.zone;
    found.slots = health.slots.value_or(kDefaultSlots);
    return found;
}

}  // namespace anisehold::sidecar
