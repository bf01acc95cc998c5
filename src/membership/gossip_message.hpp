/// @file
/// The gossip datagram exchanged by table daemons. Owns the message layout: the order of the fields is the
/// encoding. Relies on `serialize_all`.
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
    kAnnounce,     ///< Carries only updates and revisions; the receiver sends no reply.
};

/// The size is bounded regardless of fleet size: at most `kMaxUpdates` updates.
struct GossipMessage {
    GossipType type = GossipType::kPing;
    std::uint64_t sequence = 0;  ///< An ack repeats the sequence number of its ping.
    MemberRecord sender;
    std::vector<MemberRecord> about_receiver;  ///< At most one: the sender's record of the receiver.
    std::vector<MemberRecord> target;          ///< Exactly one in a ping request, otherwise empty.
    std::vector<MemberRecord> updates;
    DocumentRevisions revisions{};

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, type, sequence, sender, about_receiver, target, updates, revisions);
    }
};

/// Maximum number of updates in one message; keeps a datagram under 1,400 bytes (peer_messages_test).
inline constexpr std::size_t kMaxUpdates = 6;

}  // namespace anisehold::membership
