/// @file
/// Failure detection and membership by SWIM (Das, Gupta, Motivala, 2002): ping, indirect ping, suspicion and
/// incarnation numbers, with the local health multiplier of Lifeguard (Dadgar et al., 2018), by which a slow
/// member suspects others later. Owns the probes and the membership list; relies on the daemon to send
/// datagrams and to supply the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership/gossip_message.hpp"
#include "membership/member.hpp"
#include "membership/member_list.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// The settings `membership.*`.
struct SwimConfig {
    milliseconds period_ms{500};
    unsigned suspicion_periods = 6;  ///< In a small fleet; see `suspicion_timeout`.
    std::vector<Endpoint> seeds;
};

/// A message to send.
struct Datagram {
    Endpoint to;
    GossipMessage message;
};

/// State machine of one member. Pure: time and messages in, messages out.
class Swim {
  public:
    /// `incarnation` must exceed that of any earlier process with this id. The wall clock in milliseconds
    /// suffices: a member that receives a record of itself with a higher incarnation raises its own.
    Swim(SwimConfig config, MemberInfo self, std::uint64_t incarnation, std::uint64_t random_seed);

    /// Advances timers; call at least four times per period.
    std::vector<Datagram> tick(TimePoint now);
    /// Handles a message received from `from` and returns the replies.
    std::vector<Datagram> receive(TimePoint now, const Endpoint& from, const GossipMessage& message);
    /// Merges all records of another member, whose own record comes first. Only the sender's own record is
    /// disseminated: the fleet already knows the others, and resending them would fill messages for minutes.
    void merge(TimePoint now, const std::vector<MemberRecord>& records);
    /// Announces a planned shutdown: `kLeaving` first, `kLeft` at the end.
    std::vector<Datagram> announce_self(MemberState state);
    /// Sets the document revisions carried in messages and announces a raised revision to a few members at
    /// once.
    std::vector<Datagram> set_revisions(const DocumentRevisions& revisions);

    const MemberRecord& self() const { return members_.self(); }
    /// Incremented with each change of any record, so that callers can cache values derived from the records.
    std::uint64_t version() const { return members_.version(); }
    /// All known members, the local one first.
    std::vector<MemberRecord> records() const { return members_.records(); }
    /// Null for an unknown member.
    const MemberRecord* find(const std::string& id) const { return members_.find(id); }
    /// Members that accept new work, including the local member while it does.
    std::vector<MemberRecord> working_members() const;
    /// Changes since the last call.
    std::vector<MembershipEvent> take_events() { return members_.take_events(); }
    /// A random other member that has neither died nor left, for a full list exchange; empty if there is
    /// none.
    std::optional<MemberInfo> random_peer();

  private:
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        TimePoint sent_at;
        bool indirect_sent = false;
        bool acknowledged = false;
    };
    /// A ping sent on behalf of another member that awaits its ack.
    struct Relay {
        std::uint64_t original_sequence = 0;
        Endpoint requester;
        TimePoint started_at;
    };

    void handle_pause(TimePoint now);
    void start_probe(TimePoint now, std::vector<Datagram>& out);
    void advance_probe(TimePoint now, std::vector<Datagram>& out);
    void end_probe(TimePoint now);
    void recontact(std::vector<Datagram>& out);
    void remove_expired(TimePoint now);
    void on_ack(std::uint64_t sequence, std::vector<Datagram>& out);
    std::vector<Datagram> announce();
    void learn(TimePoint now, const MemberRecord& record, Spread spread);
    GossipMessage make_message(GossipType type, std::uint64_t sequence, const std::string& receiver_id);
    /// Gossip address of another member.
    const Endpoint& peer_address(const std::string& id) const {
        return members_.others().at(id).record.info.peer;
    }
    std::vector<std::string> random_members(std::size_t count, const std::string& except);
    std::optional<std::string> next_target();
    Duration probe_timeout() const;
    Duration suspicion_timeout() const;

    SwimConfig config_;
    MemberList members_;
    DocumentRevisions revisions_{};
    std::vector<std::string> probe_order_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::mt19937_64 random_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t periods_ = 0;
    unsigned local_health_ = 0;  // 0 is healthy; each failed probe by this member increments it.
    std::optional<TimePoint> last_tick_;
    TimePoint period_started_;
};

}  // namespace anisehold::membership
