/// @file
/// The one datagram that table daemons exchange. The order of the fields is the encoding.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/member.hpp"
#include "protocol/documents.hpp"
#include "protocol/serialize_all.hpp"

namespace anisehold::membership {

enum class GossipType : std::uint8_t {
    kPing,
    kAck,
    kPingRequest,  ///< Asks the receiver to ping `target` for the sender.
    kAnnounce,     ///< Only carries updates and revisions; no answer.
};

/// Bounded in size whatever the fleet's: at most `kMaxUpdates` updates.
struct GossipMessage {
    GossipType type = GossipType::kPing;
    std::uint64_t sequence = 0;  ///< An ack has that of its ping.
    MemberRecord sender;
    std::vector<MemberRecord> about_receiver;  ///< At most one: what the sender believes of the receiver.
    std::vector<MemberRecord> target;          ///< Of a ping request: exactly one.
    std::vector<MemberRecord> updates;
    DocumentRevisions revisions{};

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, type, sequence, sender, about_receiver, target, updates, revisions);
    }
};

/// Most updates in one message; keeps a datagram under 1,400 bytes (peer_messages_test).
inline constexpr std::size_t kMaxUpdates = 6;

}  // namespace anisehold::membership
