#include "daemon/membership_service.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <map>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "routing/rendezvous.hpp"

namespace anisehold::daemon {
namespace {

using membership::MemberInfo;
using membership::MemberRecord;
using membership::MemberState;

// All chosen, not measured.

/// How often timers advance in a period of the gossip; `Swim::tick` asks for four times at least.
constexpr int kTicksPerPeriod = 8;
/// How long a member is waited for that is asked for its full list.
constexpr seconds kExchangeTimeout{2};
/// Full lists are exchanged as a safety net under the gossip: soon after joining, since a fleet that starts
/// at once has more changes than gossip carries, then at doubling times up to the longest one.
constexpr seconds kFirstFullExchange{2};
constexpr seconds kFullExchangePeriod{60};
/// Pause between attempts to join through the seeds.
constexpr milliseconds kJoinRetry{250};
/// How long a member that couldn't be connected to gates no servers.
constexpr seconds kUnreachableHolds{1};

membership::SwimConfig swim_config(const config::Settings& settings) {
    membership::SwimConfig config;
    config.period_ms = milliseconds(settings.membership_period_ms);
    config.suspicion_periods = static_cast<unsigned>(settings.membership_suspicion_periods);
    config.seeds = settings.membership_seeds;
    return config;
}

std::uint64_t wall_clock_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

}  // namespace

MembershipService::MembershipService(DaemonContext& context, PeerClient& peers)
    : context_(context),
      peers_(peers),
      swim_(swim_config(context.settings), context.self, wall_clock_ms(), context.random()),
      socket_(context.io) {}

std::error_code MembershipService::start() {
    const auto error =
        socket_.start(context_.settings.daemon_peer,
                      [this](const Endpoint& from, std::string_view bytes) { on_datagram(from, bytes); });
    if (!error) {
        net::EventLoop::spawn([this] { run_ticks(); });
        net::EventLoop::spawn([this] { run_full_exchanges(); });
    }
    return error;
}

void MembershipService::announce_revisions(const DocumentRevisions& revisions) {
    send(swim_.set_revisions(revisions));
}

void MembershipService::announce_self(MemberState state) {
    send(swim_.announce_self(state));
}

std::vector<MemberRecord> MembershipService::exchange_records(const std::vector<MemberRecord>& theirs) {
    swim_.merge(TimePoint::clock::now(), theirs);
    report_events();
    return swim_.records();
}

void MembershipService::send(const std::vector<membership::Datagram>& datagrams) {
    for (const auto& datagram : datagrams) {
        const auto bytes = encode(datagram.message, context_.settings.daemon_mesh_key);
        context_.control_bytes += bytes.size();
        socket_.send(datagram.to, bytes);
        context_.metrics.count_gossip_bytes(bytes.size(), 0);
    }
}

void MembershipService::on_datagram(const Endpoint& from, std::string_view bytes) {
    const auto message = decode_gossip(bytes, context_.settings.daemon_mesh_key);
    if (!message) {
        observability::log_event(observability::Event::kPeerFrameRefused,
                                 {{"from", from.text()}, {"transport", "udp"}});
        return;
    }
    context_.metrics.count_gossip_bytes(0, bytes.size());
    context_.control_bytes += bytes.size();
    send(swim_.receive(TimePoint::clock::now(), from, *message));
    report_events();
    if (listener_) {
        listener_(message->sender.info, message->revisions);
    }
}

void MembershipService::run_ticks() {
    const milliseconds pause = milliseconds(context_.settings.membership_period_ms) / kTicksPerPeriod;
    while (true) {
        send(swim_.tick(TimePoint::clock::now()));
        report_events();
        boost::this_fiber::sleep_for(pause);
    }
}

void MembershipService::run_full_exchanges() {
    bool joined = context_.settings.membership_seeds.empty();
    while (!joined) {
        for (const auto& seed : context_.settings.membership_seeds) {
            if (seed == context_.settings.daemon_peer) {
                continue;
            }
            const auto reply =
                peers_.ask<MembersReply>(seed, MembersRequest{{swim_.self()}}, kExchangeTimeout);
            if (reply) {
                exchange_records(reply->records);
                joined = true;
            }
        }
        boost::this_fiber::sleep_for(kJoinRetry);
    }
    Duration period = kFirstFullExchange;
    while (true) {
        boost::this_fiber::sleep_for(context_.jittered(period));
        period = std::min<Duration>(period * 2, kFullExchangePeriod);
        const auto peer = swim_.random_peer();
        if (!peer) {
            continue;
        }
        const auto reply =
            peers_.ask<MembersReply>(peer->peer, MembersRequest{{swim_.self()}}, kExchangeTimeout);
        if (reply) {
            exchange_records(reply->records);
        }
    }
}

void MembershipService::report_events() {
    const auto events = swim_.take_events();
    if (events.empty()) {
        return;
    }
    for (const auto& event : events) {
        const std::string before = event.before ? membership::member_state_name(*event.before) : "unknown";
        observability::log_event(observability::Event::kMemberChanged,
                                 {{"id", event.record.info.id},
                                  {"zone", event.record.info.zone},
                                  {"before", before},
                                  {"now", membership::member_state_name(event.record.state)},
                                  {"incarnation", std::to_string(event.record.incarnation)}});
    }
    std::map<MemberState, std::size_t> counts;
    for (const auto& record : swim_.records()) {
        ++counts[record.state];
    }
    for (const auto state : {MemberState::kAlive, MemberState::kLeaving, MemberState::kSuspect,
                             MemberState::kDead, MemberState::kLeft}) {
        context_.metrics.set_members(membership::member_state_name(state), counts[state]);
    }
}

bool MembershipService::is_unreachable(const std::string& id, TimePoint now) const {
    const auto found = unreachable_until_.find(id);
    return found != unreachable_until_.end() && found->second > now;
}

void MembershipService::mark_unreachable(const std::string& id) {
    unreachable_until_[id] = TimePoint::clock::now() + kUnreachableHolds;
}

const std::vector<MemberRecord>& MembershipService::working_members() const {
    if (working_version_ != swim_.version()) {
        working_ = swim_.working_members();
        working_version_ = swim_.version();
    }
    return working_;
}

std::vector<const MemberInfo*> MembershipService::gate_members(const std::string& zone) const {
    const auto now = TimePoint::clock::now();
    std::vector<const MemberInfo*> reachable;
    std::vector<const MemberInfo*> in_zone;
    for (const auto& record : working_members()) {
        if (is_unreachable(record.info.id, now)) {
            continue;
        }
        reachable.push_back(&record.info);
        if (record.info.zone == zone) {
            in_zone.push_back(&record.info);
        }
    }
    return in_zone.empty() ? reachable : in_zone;
}

std::optional<MemberInfo> MembershipService::gate_of(const Endpoint& server, const std::string& zone) const {
    const auto members = gate_members(zone);
    if (members.empty()) {
        return std::nullopt;
    }
    const auto on_machine = [&](const MemberInfo* member) { return member->call.ip == server.ip; };
    if (std::count_if(members.begin(), members.end(), on_machine) == 1) {
        return **std::find_if(members.begin(), members.end(), on_machine);
    }
    const auto key = server.text();
    const auto* const* best = &*std::max_element(
        members.begin(), members.end(), [&](const MemberInfo* left, const MemberInfo* right) {
            return routing::rendezvous_score(left->id, key) < routing::rendezvous_score(right->id, key);
        });
    return **best;
}

}  // namespace anisehold::daemon
