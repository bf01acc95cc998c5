/// @file
/// Membership by SWIM (Das, Gupta, Motivala, 2002): ping, indirect ping, suspicion, incarnation numbers;
/// with Lifeguard's local health (Dadgar et al., 2018), so that a slow member doubts itself first.
/// Owns the probes and the list of members; the daemon sends its datagrams and gives it the time.
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
    std::vector<Datagram> announce_self(MemberState state);
    /// Revisions to carry in messages; announces a raised one to a few members at once.
    std::vector<Datagram> set_revisions(const DocumentRevisions& revisions);

    const MemberRecord& self() const { return members_.self(); }
    /// Rises with each change of any record, so that what is derived from them can be kept.
    std::uint64_t version() const { return members_.version(); }
    /// All known members, the own one first.
    std::vector<MemberRecord> records() const { return members_.records(); }
    /// Null for an unknown member.
    const MemberRecord* find(const std::string& id) const { return members_.find(id); }
    /// Members that take new work, the own one included while it does.
    std::vector<MemberRecord> working_members() const;
    /// Changes since the last call.
    std::vector<MembershipEvent> take_events() { return members_.take_events(); }
    /// A random other member that isn't gone, to exchange full lists with; nothing if there is none.
    std::optional<MemberInfo> random_peer();

  private:
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        TimePoint sent_at;
        bool indirect_sent = false;
        bool acknowledged = false;
    };
    /// A ping that was sent for another member, which waits for the answer.
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
    void forget_old(TimePoint now);
    void on_ack(std::uint64_t sequence, std::vector<Datagram>& out);
    std::vector<Datagram> announce();
    void learn(TimePoint now, const MemberRecord& record, Spread spread);
    GossipMessage make_message(GossipType type, std::uint64_t sequence, const std::string& receiver_id);
    /// Where another member takes datagrams.
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
    unsigned local_health_ = 0;  // 0 is healthy; each failed probe of our own raises it.
    std::optional<TimePoint> last_tick_;
    TimePoint period_started_;
};

}  // namespace anisehold::membership
