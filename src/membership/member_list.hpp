/// @file
/// What one member knows of all members, and which of it is still to be spread. Owns the records; decides by
/// incarnation and state which of two records of a member holds, and relies on its user for when a member is
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

/// A change in what is known about a member.
struct MembershipEvent {
    MemberRecord record;
    std::optional<MemberState> before;  ///< Nothing for a member not known before.
};

/// Whether a record that was learned is spread further.
enum class Spread { kYes, kNo };

/// Whether a member is known to take part no more.
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

    /// Takes in a record; true if its member wasn't known. A wrong one of this member itself is refuted.
    bool learn(TimePoint now, const MemberRecord& record, Spread spread);
    /// Refutes a record of this member that isn't its own, by a higher incarnation.
    void learn_about_self(const MemberRecord& record);
    /// Changes the own state.
    void set_own_state(MemberState state);
    /// A member didn't answer. No effect on one that is suspected or gone.
    void suspect(TimePoint now, const std::string& id);
    /// Declares members dead that were suspected for `timeout`.
    void expire_suspicions(TimePoint now, Duration timeout);
    /// Drops members that have been gone for `age`.
    void forget_gone(TimePoint now, Duration age);
    /// This process was paused: what is measured in time since a change isn't counted for the pause.
    void shift_changes(Duration pause);
    /// At most `most` records to spread with one message, those that were sent least often first.
    std::vector<MemberRecord> pick_updates(std::size_t most);

    const MemberRecord& self() const { return self_; }
    /// Members without the own one, by id.
    const std::map<std::string, Member>& others() const { return others_; }
    /// Ids of the others that aren't gone, without `except`.
    std::vector<std::string> present_ids(const std::string& except) const;
    /// Rises with each change of any record.
    std::uint64_t version() const { return version_; }
    /// All known members, the own one first.
    std::vector<MemberRecord> records() const;
    /// Null for an unknown member.
    const MemberRecord* find(const std::string& id) const;
    /// Changes since the last call.
    std::vector<MembershipEvent> take_events();

  private:
    /// A record that is to be spread.
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
