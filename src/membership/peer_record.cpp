#include "membership/peer_record.hpp"

#include <algorithm>

#include "protocol/message_archive.hpp"

namespace anisehold::membership {
namespace {

/// First byte of every datagram; identifies the layout.
constexpr char kLayout = 'D';
/// First byte of the section of a shortage report with offered volumes and work estimates.
constexpr char kOfferedSection = 'O';

std::vector<ServerCondition> conditions_of(const std::vector<ServerRecord>& servers) {
    std::vector<ServerCondition> conditions;
    for (const auto& server : servers) {
        if (server.slow_percent != kUsualSpeed || server.declined_percent != 0) {
            conditions.push_back({server.instance, server.slow_percent, server.declined_percent});
        }
    }
    return conditions;
}

void apply_conditions(const std::vector<ServerCondition>& conditions, std::vector<ServerRecord>& servers) {
    for (const auto& condition : conditions) {
        const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto& candidate) {
            return candidate.instance == condition.instance;
        });
        if (server != servers.end()) {
            server->slow_percent = condition.slow_percent;
            server->declined_percent = condition.declined_percent;
        }
    }
}

}  // namespace

std::string encode(const PeerRecord& record) {
    auto bytes = kLayout + archive_bytes(record);
    auto shortage = record.shortage;
    shortage.servers = conditions_of(record.servers);
    if (!shortage.empty()) {
        bytes += archive_bytes(shortage);
    }
    if (!shortage.offered.empty()) {
        bytes += kOfferedSection + archive_bytes(shortage.offered);
    }
    return bytes;
}

std::optional<PeerRecord> decode_peer_record(std::string_view bytes) {
    if (bytes.empty() || bytes.front() != kLayout) {
        return std::nullopt;
    }
    bytes.remove_prefix(1);
    auto record = unarchive_prefix<PeerRecord>(bytes);
    if (!record || bytes.empty()) {
        return record;
    }
    auto shortage = unarchive_prefix<ShortageReport>(bytes);
    if (!shortage) {
        return std::nullopt;
    }
    record->shortage = std::move(*shortage);
    if (!bytes.empty()) {
        if (bytes.front() != kOfferedSection) {
            return std::nullopt;
        }
        bytes.remove_prefix(1);
        auto offered = unarchive_prefix<overload::OfferedReport>(bytes);
        if (!offered) {
            return std::nullopt;
        }
        record->shortage.offered = std::move(*offered);
    }
    apply_conditions(record->shortage.servers, record->servers);
    return record;
}

}  // namespace anisehold::membership
