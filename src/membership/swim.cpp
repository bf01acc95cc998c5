#include "membership/swim.hpp"

#include <algorithm>
#include <bit>

namespace anisehold::membership {
namespace {

/// Number of members asked to ping a member that did not answer.
constexpr std::size_t kIndirectProbes = 3;
/// Periods between pings to dead members and to seeds that are not known members.
constexpr unsigned kRecontactPeriods = 10;
/// Dead and left members are removed after this time.
constexpr seconds kRemoveGoneAfter{3'600};
/// Maximum local health count: a member this slow suspects others this many periods later.
constexpr unsigned kMaxLocalHealth = 8;
/// Number of members notified at once of a change of the local member; gossip informs the others.
constexpr std::size_t kAnnounceFanout = 4;
/// A gap between ticks of more than this many periods means that the process was paused.
constexpr int kPausePeriods = 2;

}  // namespace

Swim::Swim(SwimConfig config, MemberInfo self, std::uint64_t incarnation, std::uint64_t random_seed)
    : config_(std::move(config)), members_(std::move(self), incarnation), random_(random_seed) {}

std::vector<Datagram> Swim::tick(TimePoint now) {
    std::vector<Datagram> out;
    if (!last_tick_) {
        period_started_ = now - config_.period_ms;
    }
    handle_pause(now);
    last_tick_ = now;
    members_.expire_suspicions(now, suspicion_timeout());
    advance_probe(now, out);
    if (now - period_started_ >= config_.period_ms) {
        period_started_ = now;
        ++periods_;
        end_probe(now);
        start_probe(now, out);
        if (periods_ % kRecontactPeriods == 1) {
            recontact(out);
            remove_expired(now);
        }
    }
    return out;
}

void Swim::handle_pause(TimePoint now) {
    if (!last_tick_ || now - *last_tick_ <= kPausePeriods * config_.period_ms) {
        return;
    }
    // Acks that arrived during the pause were lost, so no member is suspected for a missing ack.
    const Duration pause = now - *last_tick_;
    probe_.reset();
    members_.shift_changes(pause);
}

void Swim::start_probe(TimePoint now, std::vector<Datagram>& out) {
    const auto target = next_target();
    if (!target) {
        return;
    }
    probe_ = Probe{*target, next_sequence_++, now, false, false};
    out.push_back({peer_address(*target), make_message(GossipType::kPing, probe_->sequence, *target)});
}

void Swim::advance_probe(TimePoint now, std::vector<Datagram>& out) {
    const bool overdue =
        probe_ && !probe_->acknowledged && !probe_->indirect_sent && now - probe_->sent_at >= probe_timeout();
    if (!overdue || !members_.others().contains(probe_->target)) {
        return;
    }
    probe_->indirect_sent = true;
    for (const auto& id : random_members(kIndirectProbes, probe_->target)) {
        auto message = make_message(GossipType::kPingRequest, probe_->sequence, id);
        message.target.push_back(members_.others().at(probe_->target).record);
        out.push_back({peer_address(id), std::move(message)});
    }
}

void Swim::end_probe(TimePoint now) {
    if (!probe_) {
        return;
    }
    if (probe_->acknowledged) {
        local_health_ -= local_health_ > 0 ? 1 : 0;
    } else if (members_.others().contains(probe_->target)) {
        local_health_ = std::min(local_health_ + 1, kMaxLocalHealth);
        members_.suspect(now, probe_->target);
    }
    probe_.reset();
}

void Swim::recontact(std::vector<Datagram>& out) {
    std::vector<std::string> dead;
    for (const auto& [id, member] : members_.others()) {
        if (member.record.state == MemberState::kDead) {
            dead.push_back(id);
        }
    }
    if (!dead.empty()) {
        const auto& id = dead[random_() % dead.size()];
        out.push_back({peer_address(id), make_message(GossipType::kPing, next_sequence_++, id)});
    }
    for (const auto& seed : config_.seeds) {
        const bool known =
            std::any_of(members_.others().begin(), members_.others().end(), [&](const auto& entry) {
                return entry.second.record.info.peer == seed && !is_gone(entry.second.record.state);
            });
        if (!known && seed != self().info.peer) {
            out.push_back({seed, make_message(GossipType::kPing, next_sequence_++, "")});
        }
    }
}

void Swim::remove_expired(TimePoint now) {
    members_.remove_gone(now, kRemoveGoneAfter);
    std::erase_if(relays_,
                  [&](const auto& entry) { return now - entry.second.started_at >= 2 * config_.period_ms; });
}

std::vector<Datagram> Swim::receive(TimePoint now, const Endpoint& from, const GossipMessage& message) {
    std::vector<Datagram> out;
    learn(now, message.sender, Spread::kYes);
    for (const auto& record : message.about_receiver) {
        members_.learn_about_self(record);
    }
    for (const auto& record : message.updates) {
        learn(now, record, Spread::kYes);
    }
    if (message.type == GossipType::kPing) {
        out.push_back({from, make_message(GossipType::kAck, message.sequence, message.sender.info.id)});
    }
    if (message.type == GossipType::kPingRequest && !message.target.empty()) {
        const auto& target = message.target.front();
        const auto sequence = next_sequence_++;
        relays_[sequence] = Relay{message.sequence, from, now};
        out.push_back({target.info.peer, make_message(GossipType::kPing, sequence, target.info.id)});
    }
    if (message.type == GossipType::kAck) {
        on_ack(message.sequence, out);
    }
    return out;
}

void Swim::on_ack(std::uint64_t sequence, std::vector<Datagram>& out) {
    if (probe_ && probe_->sequence == sequence) {
        probe_->acknowledged = true;
    }
    const auto relay = relays_.find(sequence);
    if (relay != relays_.end()) {
        auto forwarded = make_message(GossipType::kAck, relay->second.original_sequence, "");
        out.push_back({relay->second.requester, std::move(forwarded)});
        relays_.erase(relay);
    }
}

void Swim::merge(TimePoint now, const std::vector<MemberRecord>& records) {
    for (const auto& record : records) {
        const bool is_senders_own = &record == &records.front();
        learn(now, record, is_senders_own ? Spread::kYes : Spread::kNo);
    }
}

std::vector<Datagram> Swim::announce_self(MemberState state) {
    members_.set_own_state(state);
    return announce();
}

std::vector<Datagram> Swim::set_revisions(const DocumentRevisions& revisions) {
    if (revisions == revisions_) {
        return {};
    }
    revisions_ = revisions;
    return announce();
}

std::vector<Datagram> Swim::announce() {
    std::vector<Datagram> out;
    for (const auto& id : random_members(kAnnounceFanout, "")) {
        out.push_back({peer_address(id), make_message(GossipType::kAnnounce, 0, id)});
    }
    return out;
}

void Swim::learn(TimePoint now, const MemberRecord& record, Spread spread) {
    if (!members_.learn(now, record, spread)) {
        return;
    }
    // Inserts a new member at a random position of the probe round.
    const auto position = random_() % (probe_order_.size() + 1);
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(position), record.info.id);
}

GossipMessage Swim::make_message(GossipType type, std::uint64_t sequence, const std::string& receiver_id) {
    GossipMessage message;
    message.type = type;
    message.sequence = sequence;
    message.sender = self();
    message.revisions = revisions_;
    const auto receiver = members_.others().find(receiver_id);
    if (receiver != members_.others().end() && receiver->second.record.state != MemberState::kAlive) {
        message.about_receiver.push_back(receiver->second.record);
    }
    message.updates = members_.pick_updates(kMaxUpdates);
    return message;
}

std::vector<std::string> Swim::random_members(std::size_t count, const std::string& except) {
    const auto candidates = members_.present_ids(except);
    std::vector<std::string> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), count, random_);
    return picked;
}

std::optional<std::string> Swim::next_target() {
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const std::string id = probe_order_.back();
            probe_order_.pop_back();
            const auto found = members_.others().find(id);
            if (found != members_.others().end() && !is_gone(found->second.record.state)) {
                return id;
            }
        }
        for (const auto& [id, member] : members_.others()) {
            probe_order_.push_back(id);
        }
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

Duration Swim::probe_timeout() const {
    return std::min<Duration>(config_.period_ms / 3 * (1 + local_health_), config_.period_ms * 9 / 10);
}

Duration Swim::suspicion_timeout() const {
    const auto members = static_cast<unsigned>(members_.others().size() + 1);
    const unsigned scale = std::max(1U, static_cast<unsigned>(std::bit_width(members)) / 3);
    return config_.period_ms * (config_.suspicion_periods * scale + local_health_);
}

std::vector<MemberRecord> Swim::working_members() const {
    std::vector<MemberRecord> working;
    for (const auto& record : records()) {
        if (record.takes_new_work()) {
            working.push_back(record);
        }
    }
    return working;
}

std::optional<MemberInfo> Swim::random_peer() {
    const auto picked = random_members(1, "");
    if (picked.empty()) {
        return std::nullopt;
    }
    return members_.others().at(picked.front()).record.info;
}

}  // namespace anisehold::membership
