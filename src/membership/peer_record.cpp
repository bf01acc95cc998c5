#include "membership/peer_record.hpp"

#include "protocol/message_archive.hpp"

namespace anisehold::membership {
namespace {

/// First byte of every datagram; identifies the layout.
constexpr char kLayout = 'D';

}  // namespace

std::string encode(const PeerRecord& record) {
    return kLayout + archive_bytes(record);
}

std::optional<PeerRecord> decode_peer_record(std::string_view bytes) {
    if (bytes.empty() || bytes.front() != kLayout) {
        return std::nullopt;
    }
    return unarchive_bytes<PeerRecord>(bytes.substr(1));
}

}  // namespace anisehold::membership
