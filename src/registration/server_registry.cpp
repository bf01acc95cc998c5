#include "registration/server_registry.hpp"

#include <algorithm>

namespace anisehold::registration {
namespace {

/// How long an instance that left is remembered, so that a late heartbeat doesn't bring it back.
constexpr seconds kLeftRemembered{600};

}  // namespace

RegistryChange ServerRegistry::on_heartbeat(TimePoint now, const Heartbeat& heartbeat) {
    if (left_.contains(heartbeat.instance)) {
        return RegistryChange::kNone;
    }
    const auto found = servers_.find(heartbeat.instance);
    const bool known = found != servers_.end();
    if (known && !found->second.is_found && heartbeat.sequence <= found->second.heartbeat.sequence) {
        return RegistryChange::kNone;
    }
    if (!known) {
        // A server with another's address has taken its place.
        for (auto each = servers_.begin(); each != servers_.end();) {
            if (each->second.heartbeat.address == heartbeat.address) {
                left_[each->first] = now;
                each = servers_.erase(each);
            } else {
                ++each;
            }
        }
        servers_[heartbeat.instance] = {heartbeat, now, now + heartbeat.cold_remaining};
        return heartbeat.draining ? RegistryChange::kDraining : RegistryChange::kAppeared;
    }
    const Heartbeat before = found->second.heartbeat;
    found->second = {heartbeat, now, now + heartbeat.cold_remaining};
    found->second.heartbeat.draining = before.draining || heartbeat.draining;
    if (!before.draining && heartbeat.draining) {
        return RegistryChange::kDraining;
    }
    const bool same = before.slots == heartbeat.slots && before.service == heartbeat.service &&
                      before.address == heartbeat.address;
    return same ? RegistryChange::kRefreshed : RegistryChange::kChanged;
}

RegistryChange ServerRegistry::on_found(TimePoint now, const Heartbeat& found) {
    const bool address_taken = std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return entry.second.heartbeat.address == found.address;
    });
    if (address_taken || left_.contains(found.instance) || servers_.contains(found.instance)) {
        return RegistryChange::kNone;
    }
    servers_[found.instance] = {found, now, now, true};
    return RegistryChange::kAppeared;
}

RegistryChange ServerRegistry::on_leave(TimePoint now, const std::string& instance) {
    left_[instance] = now;
    return servers_.erase(instance) > 0 ? RegistryChange::kLeft : RegistryChange::kNone;
}

std::vector<std::string> ServerRegistry::expire(TimePoint now, Duration silence, Duration found_silence) {
    std::erase_if(left_, [&](const auto& entry) { return now - entry.second > kLeftRemembered; });
    std::vector<std::string> silent;
    std::erase_if(servers_, [&](const auto& entry) {
        const auto& server = entry.second;
        const bool expired = now - server.heard > (server.is_found ? found_silence : silence);
        if (expired) {
            silent.push_back(entry.first);
        }
        return expired;
    });
    return silent;
}

const RegisteredServer* ServerRegistry::find_ready(const std::string& instance) const {
    const auto found = servers_.find(instance);
    return found == servers_.end() || found->second.heartbeat.draining ? nullptr : &found->second;
}

bool ServerRegistry::serves(const std::string& service) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return !entry.second.heartbeat.draining && entry.second.heartbeat.service == service;
    });
}

std::vector<RegisteredServer> ServerRegistry::ready_servers() const {
    std::vector<RegisteredServer> ready;
    for (const auto& [instance, server] : servers_) {
        if (!server.heartbeat.draining) {
            ready.push_back(server);
        }
    }
    return ready;
}

}  // namespace anisehold::registration
