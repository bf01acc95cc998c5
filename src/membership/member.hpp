/// @file
/// Membership records exchanged by table daemons. Owns the precedence rule: the record with the higher
/// incarnation wins, and at equal incarnation the one with the later state.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"

namespace anisehold::membership {

/// Lifecycle state of a member. Enum order is the order of precedence at equal incarnation.
enum class MemberState : std::uint8_t {
    kAlive,
    kLeaving,  ///< Alive and finishing in-flight calls; accepts no new calls or duties.
    kSuspect,
    kDead,
    kLeft,  ///< Stopped by a planned shutdown.
};

/// Stable lower-case name of a state.
std::string member_state_name(MemberState state);

/// Identity and listening addresses of a member.
struct MemberInfo {
    std::string id;
    std::string zone;
    std::uint64_t boot_id = 0;  ///< Random; differs after each restart.
    Endpoint call;
    Endpoint peer;
    Endpoint admin;

    bool operator==(const MemberInfo&) const = default;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, id, zone, boot_id, call, peer, admin);
    }
};

/// Identity, incarnation and state of a member. The higher incarnation wins; at equal incarnation, the later
/// state.
struct MemberRecord {
    MemberInfo info;
    std::uint64_t incarnation = 0;  ///< Incremented only by the member itself.
    MemberState state = MemberState::kAlive;

    bool operator==(const MemberRecord&) const = default;
    /// Whether this record replaces `other` about the same member.
    bool supersedes(const MemberRecord& other) const;
    /// Whether calls and duties may be assigned to the member.
    bool takes_new_work() const { return state == MemberState::kAlive || state == MemberState::kSuspect; }

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, info, incarnation, state);
    }
};

}  // namespace anisehold::membership
