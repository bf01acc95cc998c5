/// @file
/// What table daemons know about each other. A higher incarnation wins, and at the same one the later state.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"

namespace anisehold::membership {

/// The life of a member. The order is the order of precedence at equal incarnation.
enum class MemberState : std::uint8_t {
    kAlive,
    kLeaving,  ///< Alive, finishing what is in flight; takes no new duty.
    kSuspect,
    kDead,
    kLeft,  ///< Stopped as planned.
};

/// Stable lower-case name of a state.
std::string member_state_name(MemberState state);

/// Who a member is and where it listens.
struct MemberInfo {
    std::string id;
    std::string zone;
    std::uint64_t boot_id = 0;  ///< Random at each start; a restarted process has another one.
    Endpoint call;
    Endpoint peer;
    Endpoint admin;

    bool operator==(const MemberInfo&) const = default;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, id, zone, boot_id, call, peer, admin);
    }
};

/// What is said about a member. A higher incarnation wins; at the same one, the later state.
struct MemberRecord {
    MemberInfo info;
    std::uint64_t incarnation = 0;  ///< Raised only by the member itself.
    MemberState state = MemberState::kAlive;

    bool operator==(const MemberRecord&) const = default;
    /// Whether this record replaces `other` about the same member.
    bool supersedes(const MemberRecord& other) const;
    /// Whether calls and duties may go to the member.
    bool takes_new_work() const { return state == MemberState::kAlive || state == MemberState::kSuspect; }

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, info, incarnation, state);
    }
};

}  // namespace anisehold::membership
