#include "membership/peer_directory.hpp"

#include <algorithm>

namespace anisehold::membership {
namespace {

constexpr milliseconds kCalmPeriod{1'000};
constexpr milliseconds kPressurePeriod{400};
constexpr double kMostRecordsPerSecond = 100;
/// Periods without a record after which a peer counts as silent: single datagrams get lost.
constexpr double kSilentPeriods = 3.5;

bool same_servers(const PeerRecord& left, const PeerRecord& right) {
    const auto same_instance = [](const ServerRecord& one, const ServerRecord& other) {
        return one.instance == other.instance && one.service == other.service;
    };
    return left.leaving == right.leaving &&
           std::equal(left.servers.begin(), left.servers.end(), right.servers.begin(), right.servers.end(),
                      same_instance);
}

}  // namespace

Duration record_period(std::size_t peers, bool under_pressure) {
    const std::chrono::duration<double> by_fleet(static_cast<double>(peers) / kMostRecordsPerSecond);
    const Duration least = under_pressure ? kPressurePeriod : kCalmPeriod;
    return std::max<Duration>(least, std::chrono::duration_cast<Duration>(by_fleet));
}

Duration PeerDirectory::silent_after() const {
    const auto by_period = kSilentPeriods * std::chrono::duration<double>(record_period(peers_.size()));
    return std::max<Duration>(times_.silent_after, std::chrono::duration_cast<Duration>(by_period));
}

bool PeerDirectory::reachable(TimePoint now, const Peer& peer) const {
    return peer.was_heard && !peer.unreachable && now - peer.heard < silent_after();
}

PeerChange PeerDirectory::on_record(TimePoint now, const PeerRecord& record) {
    if (record.name == own_name_ || record.name.empty()) {
        return PeerChange::kNone;
    }
    auto& peer = peers_[record.name];
    const bool same_boot = peer.was_heard && peer.record.boot_id == record.boot_id;
    if (same_boot && record.sequence <= peer.record.sequence) {
        return PeerChange::kNone;
    }
    PeerChange change = PeerChange::kRefreshed;
    if (!same_boot || !reachable(now, peer)) {
        change = PeerChange::kAppeared;
    } else if (!same_servers(peer.record, record)) {
        change = PeerChange::kServers;
    }
    peer = Peer{record, now, now, true, false};
    return change;
}

void PeerDirectory::on_address(TimePoint now, const PeerAddress& address) {
    if (address.name == own_name_ || peers_.contains(address.name)) {
        return;
    }
    Peer peer;
    peer.record.name = address.name;
    peer.record.gossip = address.gossip;
    peer.learned = now;
    peers_.emplace(address.name, std::move(peer));
}

void PeerDirectory::on_unreachable(const std::string& name, std::uint64_t boot_id) {
    const auto found = peers_.find(name);
    if (found != peers_.end() && found->second.record.boot_id == boot_id) {
        found->second.unreachable = true;
    }
}

void PeerDirectory::on_load(const std::string& name, const ServerRecord& server) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return;
    }
    for (auto& known : found->second.record.servers) {
        if (known.instance == server.instance) {
            known.in_flight = server.in_flight;
            known.queued = server.queued;
            known.limit = server.limit;
            known.latency_us = server.latency_us;
            known.failed_percent = server.failed_percent;
        }
    }
}

void PeerDirectory::expire(TimePoint now) {
    std::erase_if(peers_, [&](const auto& entry) {
        const auto& peer = entry.second;
        return now - (peer.was_heard ? peer.heard : peer.learned) > times_.forgotten_after;
    });
}

std::vector<KnownServer> PeerDirectory::servers_of(TimePoint now, const std::string& service) const {
    std::vector<KnownServer> servers;
    for (const auto& [name, peer] : peers_) {
        if (!reachable(now, peer) || peer.record.leaving) {
            continue;
        }
        for (const auto& server : peer.record.servers) {
            if (server.service == service) {
                servers.push_back({server, name, peer.record.zone, peer.record.call, peer.record.boot_id,
                                   now - peer.heard});
            }
        }
    }
    return servers;
}

std::vector<ServerRecord> PeerDirectory::servers(TimePoint now) const {
    std::vector<ServerRecord> servers;
    for (const auto& [name, peer] : peers_) {
        if (reachable(now, peer) && !peer.record.leaving) {
            servers.insert(servers.end(), peer.record.servers.begin(), peer.record.servers.end());
        }
    }
    return servers;
}

std::vector<PeerAddress> PeerDirectory::addresses() const {
    std::vector<PeerAddress> addresses;
    for (const auto& [name, peer] : peers_) {
        addresses.push_back({name, peer.record.gossip});
    }
    return addresses;
}

std::size_t PeerDirectory::reachable_count(TimePoint now) const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](const auto& entry) { return reachable(now, entry.second); }));
}

}  // namespace anisehold::membership
