#include "registration/server_registry.hpp"

#include <algorithm>

namespace anisehold::registration {
namespace {

/// How long an instance that left is remembered, so that a late heartbeat does not bring it back.
constexpr seconds kLeftServerRetention{600};
/// Number of heartbeats after which a server that was displaced from its address counts as still running: the
/// entry that displaced it came from another writer. One or two heartbeats may have been in flight when the
/// server ended.
constexpr unsigned kHeartbeatsToReinstate = 3;

}  // namespace

bool ServerRegistry::is_back(const Heartbeat& heartbeat) {
    const auto found = left_.find(heartbeat.instance);
    if (found == left_.end()) {
        return false;
    }
    auto& left = found->second;
    if (left.start_time < heartbeat.start_time) {
        return true;
    }
    const bool continues =
        left.was_displaced && left.start_time == heartbeat.start_time && left.sequence < heartbeat.sequence;
    left.heartbeats_since += continues ? 1 : 0;
    left.sequence = std::max(left.sequence, heartbeat.sequence);
    return continues && left.heartbeats_since >= kHeartbeatsToReinstate;
}

RegistryChange ServerRegistry::register_start(TimePoint now, const Heartbeat& heartbeat) {
    left_.erase(heartbeat.instance);
    // A server that registers with another server's address has replaced that server.
    for (auto each = servers_.begin(); each != servers_.end();) {
        if (each->second.heartbeat.address == heartbeat.address && each->first != heartbeat.instance) {
            const auto& displaced = each->second.heartbeat;
            left_[each->first] = {now, displaced.start_time, true, displaced.sequence, 0};
            each = servers_.erase(each);
        } else {
            ++each;
        }
    }
    servers_[heartbeat.instance] = {heartbeat, now, now + heartbeat.cold_remaining};
    return heartbeat.draining ? RegistryChange::kDraining : RegistryChange::kAppeared;
}

RegistryChange ServerRegistry::on_heartbeat(TimePoint now, const Heartbeat& heartbeat) {
    if (left_.contains(heartbeat.instance)) {
        return is_back(heartbeat) ? register_start(now, heartbeat) : RegistryChange::kNone;
    }
    const auto found = servers_.find(heartbeat.instance);
    if (found == servers_.end()) {
        return register_start(now, heartbeat);
    }
    const Heartbeat before = found->second.heartbeat;
    const bool gives_start = heartbeat.start_time != ServerStart() && before.start_time != ServerStart();
    if (gives_start && before.start_time != heartbeat.start_time) {
        return before.start_time < heartbeat.start_time ? register_start(now, heartbeat)
                                                        : RegistryChange::kNone;
    }
    const bool is_late = heartbeat.sequence <= before.sequence;
    // A start serves one service: a heartbeat with another service comes from another writer.
    const bool is_foreign = gives_start && before.service != heartbeat.service;
    if (!found->second.is_probed && (is_late || is_foreign)) {
        return RegistryChange::kNone;
    }
    found->second = {heartbeat, now, now + heartbeat.cold_remaining};
    found->second.heartbeat.draining = before.draining || heartbeat.draining;
    if (!before.draining && heartbeat.draining) {
        return RegistryChange::kDraining;
    }
    const bool same = before.slots == heartbeat.slots && before.service == heartbeat.service &&
                      before.address == heartbeat.address;
    return same ? RegistryChange::kRefreshed : RegistryChange::kChanged;
}

RegistryChange ServerRegistry::on_probed(TimePoint now, const Heartbeat& found) {
    const bool address_in_use = std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return entry.second.heartbeat.address == found.address;
    });
    if (address_in_use || left_.contains(found.instance) || servers_.contains(found.instance)) {
        return RegistryChange::kNone;
    }
    servers_[found.instance] = {found, now, now, true};
    return RegistryChange::kAppeared;
}

RegistryChange ServerRegistry::on_leaving_answer(const std::string& instance) {
    const auto found = servers_.find(instance);
    if (found == servers_.end() || found->second.heartbeat.draining) {
        return RegistryChange::kNone;
    }
    found->second.heartbeat.draining = true;
    return RegistryChange::kDraining;
}

RegistryChange ServerRegistry::on_leave(TimePoint now, const std::string& instance, ServerStart start_time) {
    const auto found = servers_.find(instance);
    const auto known = found == servers_.end() ? ServerStart() : found->second.heartbeat.start_time;
    if (start_time != ServerStart() && start_time < known) {
        return RegistryChange::kNone;
    }
    left_[instance] = {now, start_time == ServerStart() ? known : start_time, false, 0, 0};
    return servers_.erase(instance) > 0 ? RegistryChange::kLeft : RegistryChange::kNone;
}

std::vector<std::string> ServerRegistry::expire(TimePoint now, Duration silence, Duration probed_silence) {
    std::erase_if(left_, [&](const auto& entry) { return now - entry.second.at > kLeftServerRetention; });
    std::vector<std::string> silent;
    std::erase_if(servers_, [&](const auto& entry) {
        const auto& server = entry.second;
        const bool is_draining = server.heartbeat.draining;
        const bool expired =
            now - server.last_seen > (server.is_probed && !is_draining ? probed_silence : silence);
        if (!expired) {
            return false;
        }
        silent.push_back(entry.first);
        // Later heartbeats of this server may report it as ready.
        if (is_draining) {
            left_[entry.first] = {now, server.heartbeat.start_time, false, server.heartbeat.sequence, 0};
        }
        return true;
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
