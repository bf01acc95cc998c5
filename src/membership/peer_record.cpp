#include "membership/peer_record.hpp"

#include <algorithm>

#include "protocol/message_archive.hpp"

namespace anisehold::membership {
namespace {

/// First byte of every datagram; identifies the layout.
constexpr char kLayout = 'D';

/// First byte of the block with the demand of callers, behind the shortage report.
constexpr char kCallersBlock = 'C';

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

void append_callers(std::string& bytes, const fairness::DemandReport& callers) {
    if (!callers.empty()) {
        bytes += kCallersBlock + archive_bytes(callers);
    }
}

/// Returns false if the block is malformed.
bool read_callers(std::string_view& bytes, fairness::DemandReport& callers) {
    if (bytes.empty() || bytes.front() != kCallersBlock) {
        return true;
    }
    bytes.remove_prefix(1);
    auto read = unarchive_prefix<fairness::DemandReport>(bytes);
    if (read) {
        callers = std::move(*read);
    }
    return read.has_value();
}

}  // namespace

std::string encode(const PeerRecord& record) {
    auto bytes = kLayout + archive_bytes(record);
    auto shortage = record.shortage;
    shortage.servers = conditions_of(record.servers);
    if (!shortage.empty()) {
        bytes += archive_bytes(shortage);
        append_callers(bytes, shortage.callers);
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
    if (!read_callers(bytes, shortage->callers)) {
        return std::nullopt;
    }
    record->shortage = std::move(*shortage);
    apply_conditions(record->shortage.servers, record->servers);
    return record;
}

}  // namespace anisehold::membership
