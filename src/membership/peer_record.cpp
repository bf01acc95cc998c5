#include "membership/peer_record.hpp"

#include <algorithm>

#include "protocol/message_archive.hpp"

namespace anisehold::membership {
namespace {

/// First byte of every datagram; identifies the layout.
constexpr char kLayout = 'D';
/// First bytes of the sections that may follow a shortage report: offered volumes, work estimates, and the
/// demand of callers.
constexpr char kOfferedSection = 'O';
constexpr char kWorkSection = 'W';
constexpr char kCallersSection = 'C';

constexpr unsigned kMaxPercent = 100;

std::vector<ServerCondition> conditions_of(const std::vector<ServerRecord>& servers) {
    std::vector<ServerCondition> conditions;
    for (const auto& server : servers) {
        if (server.slow_percent != kUsualSlowPercent || server.declined_percent != 0) {
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
            server->declined_percent = std::min(condition.declined_percent, kMaxPercent);
        }
    }
}

template <typename Field>
bool decode_section(std::string_view& bytes, Field& field) {
    auto decoded = unarchive_prefix<Field>(bytes);
    if (!decoded) {
        return false;
    }
    field = std::move(*decoded);
    return true;
}

bool decode_section(char section, std::string_view& bytes, ShortageReport& shortage) {
    switch (section) {
        case kOfferedSection:
            return decode_section(bytes, shortage.offered.offered);
        case kWorkSection:
            return decode_section(bytes, shortage.offered.works);
        case kCallersSection:
            return decode_section(bytes, shortage.callers);
        default:
            return false;
    }
}

/// Decodes the sections after a shortage report; returns false if one is malformed or unknown.
bool decode_sections(std::string_view bytes, ShortageReport& shortage) {
    while (!bytes.empty()) {
        const char section = bytes.front();
        bytes.remove_prefix(1);
        if (!decode_section(section, bytes, shortage)) {
            return false;
        }
    }
    return true;
}

}  // namespace

std::string encode(const PeerRecord& record) {
    auto bytes = kLayout + archive_bytes(record);
    auto shortage = record.shortage;
    shortage.servers = conditions_of(record.servers);
    if (!shortage.empty()) {
        bytes += archive_bytes(shortage);
    }
    if (!shortage.offered.offered.empty()) {
        bytes += kOfferedSection + archive_bytes(shortage.offered.offered);
    }
    if (!shortage.offered.works.empty()) {
        bytes += kWorkSection + archive_bytes(shortage.offered.works);
    }
    if (!shortage.callers.empty()) {
        bytes += kCallersSection + archive_bytes(shortage.callers);
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
    if (!decode_sections(bytes, record->shortage)) {
        return std::nullopt;
    }
    apply_conditions(record->shortage.servers, record->servers);
    return record;
}

}  // namespace anisehold::membership
