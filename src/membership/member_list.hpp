/// @file
/// Membership list of one member and its queue of updates to disseminate. Owns the records and resolves
/// conflicting records of a member by incarnation and state; relies on its user to decide when a member is
/// suspected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/member.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// A change of a member's record.
struct MembershipEvent {
    MemberRecord record;
    std::optional<MemberState> before;  ///< Empty for a newly discovered member.
};

/// Whether a learned record is disseminated to other members.
enum class Spread { kYes, kNo };

/// Whether a member has died or left.
inline bool is_gone(MemberState state) {
    return state == MemberState::kDead || state == MemberState::kLeft;
}

/// The records of all members. Pure.
class MemberList {
  public:
    struct Member {
        MemberRecord record;
        TimePoint changed_at;
    };

    MemberList(MemberInfo self, std::uint64_t incarnation)
        : self_{std::move(self), incarnation, MemberState::kAlive} {}

    /// Merges a record and returns true if its member was unknown. A wrong record of the local member is
    /// refuted.
    bool learn(TimePoint now, const MemberRecord& record, Spread spread);
    /// Refutes a foreign record of the local member by raising the incarnation above the record's.
    void learn_about_self(const MemberRecord& record);
    /// Changes the local member's state.
    void set_own_state(MemberState state);
    /// Marks a member that did not answer as suspect. No effect on a member that is already suspect, dead or
    /// left.
    void suspect(TimePoint now, const std::string& id);
    /// Declares members dead that have been suspect for `timeout`.
    void expire_suspicions(TimePoint now, Duration timeout);
    /// Removes members that have been dead or left for `age`.
    void remove_gone(TimePoint now, Duration age);
    /// Shifts all change times by a pause of this process, so that the pause does not count towards timeouts.
    void shift_changes(Duration pause);
    /// At most `max_count` records to piggyback on one message, least transmitted first.
    std::vector<MemberRecord> pick_updates(std::size_t max_count);

    const MemberRecord& self() const { return self_; }
    /// All members except the local one, by id.
    const std::map<std::string, Member>& others() const { return others_; }
    /// Ids of the other members that have neither died nor left, excluding `except`.
    std::vector<std::string> present_ids(const std::string& except) const;
    /// Incremented with each change of any record.
    std::uint64_t version() const { return version_; }
    /// All known members, the local one first.
    std::vector<MemberRecord> records() const;
    /// Null for an unknown member.
    const MemberRecord* find(const std::string& id) const;
    /// Changes since the last call.
    std::vector<MembershipEvent> take_events();

  private:
    /// A record queued for dissemination.
    struct Update {
        std::string id;
        unsigned transmissions = 0;
    };

    void set_state(TimePoint now, Member& member, MemberState state);
    void enqueue_update(const std::string& id);

    MemberRecord self_;
    std::map<std::string, Member> others_;
    std::vector<Update> updates_;
    std::vector<MembershipEvent> events_;
    std::uint64_t version_ = 0;
};

}  // namespace anisehold::membership
