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

/// Timer ticks per gossip period; `Swim::tick` requires at least four.
constexpr int kTicksPerPeriod = 8;
/// Timeout for a member's full list.
constexpr seconds kExchangeTimeout{2};
/// Periods of the full list exchange, which complements the gossip. The first exchange follows soon after
/// joining, because a fleet that starts all at once has more changes than gossip can carry; the period then
/// doubles up to the maximum.
constexpr seconds kInitialExchangePeriod{2};
constexpr seconds kMaxExchangePeriod{60};
/// Pause between attempts to join through the seeds.
constexpr milliseconds kJoinRetryPause{250};
/// How long a member gates no servers after a failed connection attempt.
constexpr seconds kUnreachablePeriod{1};

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

bool MembershipService::exchange_with(const Endpoint& peer) {
    const auto reply = peers_.ask<MembersReply>(peer, MembersRequest{{swim_.self()}}, kExchangeTimeout);
    if (reply) {
        exchange_records(reply->records);
    }
    return reply.has_value();
}

void MembershipService::run_full_exchanges() {
    bool joined = context_.settings.membership_seeds.empty();
    while (!joined) {
        for (const auto& seed : context_.settings.membership_seeds) {
            if (seed == context_.settings.daemon_peer) {
                continue;
            }
            joined = exchange_with(seed) || joined;
        }
        boost::this_fiber::sleep_for(kJoinRetryPause);
    }
    Duration period = kInitialExchangePeriod;
    while (true) {
        boost::this_fiber::sleep_for(context_.jittered(period));
        period = std::min<Duration>(period * 2, kMaxExchangePeriod);
        const auto peer = swim_.random_peer();
        if (peer) {
            exchange_with(peer->peer);
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
    unreachable_until_[id] = TimePoint::clock::now() + kUnreachablePeriod;
}

const std::vector<MemberRecord>& MembershipService::working_members() const {
    if (working_version_ != swim_.version()) {
        working_ = swim_.working_members();
        working_version_ = swim_.version();
    }
    return working_;
}

bool MembershipService::is_among_first(std::size_t count, std::string_view duty,
                                       std::optional<std::string_view> zone) const {
    std::vector<std::string> ids;
    for (const auto& record : working_members()) {
        if (!zone || record.info.zone == *zone) {
            ids.push_back(record.info.id);
        }
    }
    const auto order = routing::rendezvous_order(ids, duty);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    return std::any_of(order.begin(), end, [&](std::size_t index) { return ids[index] == context_.self.id; });
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
