/// @file
/// Membership by SWIM (Das, Gupta, Motivala, 2002): ping, indirect ping, suspicion, incarnation numbers;
/// with Lifeguard's local health (Dadgar et al., 2018), so that a slow member doubts itself first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership/gossip_message.hpp"
#include "membership/member.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

struct SwimConfig {
    milliseconds period_ms{500};
    unsigned suspicion_periods = 6;
    unsigned indirect_probes = 3;
    unsigned recontact_every_periods = 10;    ///< How often a dead member or an unknown seed is pinged.
    milliseconds forget_after_ms{3'600'000};  ///< Dead and left members are dropped after this.
    std::vector<Endpoint> seeds;
};

/// A message to send.
struct Datagram {
    Endpoint to;
    GossipMessage message;
};

/// A change in what is known about a member.
struct MembershipEvent {
    MemberRecord record;
    std::optional<MemberState> before;  ///< Nothing for a member not known before.
};

/// The state machine of one member. Pure: time and messages in, messages out.
class Swim {
  public:
    /// `incarnation` must exceed that of any earlier process with this id; the wall clock in milliseconds
    /// will do, since a member that hears of a higher one raises its own.
    Swim(SwimConfig config, MemberInfo self, std::uint64_t incarnation, std::uint64_t random_seed);

    /// Advances timers; call at least four times in a period.
    std::vector<Datagram> tick(TimePoint now);
    /// Takes in a message that came from `from`.
    std::vector<Datagram> receive(TimePoint now, const Endpoint& from, const GossipMessage& message);
    /// Takes in all records of another member, its own first. Only that one is spread further: the others
    /// are known to the fleet, and spreading them again would fill messages for minutes.
    void merge(TimePoint now, const std::vector<MemberRecord>& records);
    /// Announces the planned stop: `kLeaving` first, `kLeft` at the end.
    std::vector<Datagram> announce_self(TimePoint now, MemberState state);
    /// Revisions to carry in messages; announces a raised one to a few members at once.
    std::vector<Datagram> set_revisions(const DocumentRevisions& revisions);

    const MemberRecord& self() const { return self_; }
    /// Rises with each change of any record, so that what is derived from them can be kept.
    std::uint64_t version() const { return version_; }
    /// All known members, the own one first.
    std::vector<MemberRecord> records() const;
    const MemberRecord* find(const std::string& id) const;
    /// Members that take new work, the own one included while it does.
    std::vector<MemberRecord> working_members() const;
    /// Changes since the last call.
    std::vector<MembershipEvent> take_events();
    /// Members to exchange full lists with: a random one that takes new work, or nothing.
    std::optional<MemberInfo> random_peer();

  private:
    struct Member {
        MemberRecord record;
        TimePoint changed_at;
    };
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        TimePoint sent_at;
        bool indirect_sent = false;
        bool acknowledged = false;
    };
    struct Update {
        std::string id;
        unsigned transmissions = 0;
    };
    struct Relay {
        std::uint64_t original_sequence = 0;
        Endpoint requester;
        TimePoint started_at;
    };

    void handle_pause(TimePoint now);
    void start_probe(TimePoint now, std::vector<Datagram>& out);
    void advance_probe(TimePoint now, std::vector<Datagram>& out);
    void end_probe(TimePoint now);
    void recontact(TimePoint now, std::vector<Datagram>& out);
    void expire_suspicions(TimePoint now);
    void forget_old(TimePoint now);
    enum class Spread { kYes, kNo };
    void learn(TimePoint now, const MemberRecord& record, Spread spread = Spread::kYes);
    void learn_about_self(const MemberRecord& record);
    void set_state(TimePoint now, Member& member, MemberState state);
    void enqueue_update(const std::string& id);
    GossipMessage make_message(GossipType type, std::uint64_t sequence, const std::string& receiver_id);
    std::vector<MemberRecord> pick_updates();
    std::vector<std::string> random_members(std::size_t count, const std::string& except);
    std::optional<std::string> next_target();
    Duration probe_timeout() const;
    Duration suspicion_timeout() const;

    SwimConfig config_;
    MemberRecord self_;
    DocumentRevisions revisions_{};
    std::map<std::string, Member> members_;  // Without the own one.
    std::vector<Update> updates_;
    std::vector<std::string> probe_order_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::vector<MembershipEvent> events_;
    std::mt19937_64 random_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t periods_ = 0;
    std::uint64_t version_ = 0;
    unsigned local_health_ = 0;  // 0 is healthy; each failed probe of our own raises it.
    std::optional<TimePoint> last_tick_;
    TimePoint period_started_;
};

}  // namespace anisehold::membership
