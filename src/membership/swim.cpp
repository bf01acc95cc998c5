#include "membership/swim.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace anisehold::membership {
namespace {

constexpr unsigned kMaxLocalHealth = 8;
constexpr unsigned kTransmissionFactor = 3;
constexpr std::size_t kAnnounceFanout = 4;
/// A gap between ticks longer than this many periods means that this process was paused.
constexpr int kPausePeriods = 2;

bool is_gone(MemberState state) {
    return state == MemberState::kDead || state == MemberState::kLeft;
}

}  // namespace

Swim::Swim(SwimConfig config, MemberInfo self, std::uint64_t incarnation, std::uint64_t random_seed)
    : config_(std::move(config)),
      self_{std::move(self), incarnation, MemberState::kAlive},
      random_(random_seed) {}

std::vector<Datagram> Swim::tick(TimePoint now) {
    std::vector<Datagram> out;
    if (!last_tick_) {
        period_started_ = now - config_.period_ms;
    }
    handle_pause(now);
    last_tick_ = now;
    expire_suspicions(now);
    advance_probe(now, out);
    if (now - period_started_ >= config_.period_ms) {
        period_started_ = now;
        ++periods_;
        end_probe(now);
        start_probe(now, out);
        if (periods_ % config_.recontact_every_periods == 1) {
            recontact(now, out);
            forget_old(now);
        }
    }
    return out;
}

void Swim::handle_pause(TimePoint now) {
    if (!last_tick_ || now - *last_tick_ <= kPausePeriods * config_.period_ms) {
        return;
    }
    // Answers that came while this process was paused were lost; no verdict may rest on their absence.
    const Duration pause = now - *last_tick_;
    probe_.reset();
    for (auto& [id, member] : members_) {
        member.changed_at += pause;
    }
}

void Swim::start_probe(TimePoint now, std::vector<Datagram>& out) {
    const auto target = next_target();
    if (!target) {
        return;
    }
    probe_ = Probe{*target, next_sequence_++, now, false, false};
    out.push_back(
        {members_.at(*target).record.info.peer, make_message(GossipType::kPing, probe_->sequence, *target)});
}

void Swim::advance_probe(TimePoint now, std::vector<Datagram>& out) {
    const bool overdue =
        probe_ && !probe_->acknowledged && !probe_->indirect_sent && now - probe_->sent_at >= probe_timeout();
    if (!overdue || !members_.contains(probe_->target)) {
        return;
    }
    probe_->indirect_sent = true;
    for (const auto& id : random_members(config_.indirect_probes, probe_->target)) {
        auto message = make_message(GossipType::kPingRequest, probe_->sequence, id);
        message.target.push_back(members_.at(probe_->target).record);
        out.push_back({members_.at(id).record.info.peer, std::move(message)});
    }
}

void Swim::end_probe(TimePoint now) {
    if (!probe_) {
        return;
    }
    const auto found = members_.find(probe_->target);
    if (probe_->acknowledged) {
        local_health_ -= local_health_ > 0 ? 1 : 0;
    } else if (found != members_.end()) {
        local_health_ = std::min(local_health_ + 1, kMaxLocalHealth);
        const auto state = found->second.record.state;
        if (state == MemberState::kAlive || state == MemberState::kLeaving) {
            set_state(now, found->second, MemberState::kSuspect);
        }
    }
    probe_.reset();
}

void Swim::recontact(TimePoint /*now*/, std::vector<Datagram>& out) {
    std::vector<std::string> dead;
    for (const auto& [id, member] : members_) {
        if (member.record.state == MemberState::kDead) {
            dead.push_back(id);
        }
    }
    if (!dead.empty()) {
        const auto& id = dead[random_() % dead.size()];
        out.push_back(
            {members_.at(id).record.info.peer, make_message(GossipType::kPing, next_sequence_++, id)});
    }
    for (const auto& seed : config_.seeds) {
        const bool known = std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
            return entry.second.record.info.peer == seed && !is_gone(entry.second.record.state);
        });
        if (!known && seed != self_.info.peer) {
            out.push_back({seed, make_message(GossipType::kPing, next_sequence_++, "")});
        }
    }
}

void Swim::expire_suspicions(TimePoint now) {
    for (auto& [id, member] : members_) {
        if (member.record.state == MemberState::kSuspect && now - member.changed_at >= suspicion_timeout()) {
            set_state(now, member, MemberState::kDead);
        }
    }
}

void Swim::forget_old(TimePoint now) {
    ++version_;
    std::erase_if(members_, [&](const auto& entry) {
        return is_gone(entry.second.record.state) && now - entry.second.changed_at >= config_.forget_after_ms;
    });
    std::erase_if(relays_,
                  [&](const auto& entry) { return now - entry.second.started_at >= 2 * config_.period_ms; });
}

std::vector<Datagram> Swim::receive(TimePoint now, const Endpoint& from, const GossipMessage& message) {
    std::vector<Datagram> out;
    learn(now, message.sender);
    for (const auto& record : message.about_receiver) {
        learn_about_self(record);
    }
    for (const auto& record : message.updates) {
        learn(now, record);
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
        if (probe_ && probe_->sequence == message.sequence) {
            probe_->acknowledged = true;
        }
        const auto relay = relays_.find(message.sequence);
        if (relay != relays_.end()) {
            auto forwarded = make_message(GossipType::kAck, relay->second.original_sequence, "");
            out.push_back({relay->second.requester, std::move(forwarded)});
            relays_.erase(relay);
        }
    }
    return out;
}

void Swim::merge(TimePoint now, const std::vector<MemberRecord>& records) {
    for (const auto& record : records) {
        const bool is_senders_own = &record == &records.front();
        learn(now, record, is_senders_own ? Spread::kYes : Spread::kNo);
    }
}

std::vector<Datagram> Swim::announce_self(TimePoint /*now*/, MemberState state) {
    ++self_.incarnation;
    self_.state = state;
    enqueue_update(self_.info.id);
    std::vector<Datagram> out;
    for (const auto& id : random_members(kAnnounceFanout, "")) {
        out.push_back({members_.at(id).record.info.peer, make_message(GossipType::kAnnounce, 0, id)});
    }
    return out;
}

std::vector<Datagram> Swim::set_revisions(const DocumentRevisions& revisions) {
    std::vector<Datagram> out;
    if (revisions == revisions_) {
        return out;
    }
    revisions_ = revisions;
    for (const auto& id : random_members(kAnnounceFanout, "")) {
        out.push_back({members_.at(id).record.info.peer, make_message(GossipType::kAnnounce, 0, id)});
    }
    return out;
}

void Swim::learn(TimePoint now, const MemberRecord& record, Spread spread) {
    if (record.info.id == self_.info.id) {
        learn_about_self(record);
        return;
    }
    const auto found = members_.find(record.info.id);
    if (found == members_.end()) {
        if (is_gone(record.state)) {
            return;
        }
        members_[record.info.id] = Member{record, now};
        ++version_;
        events_.push_back({record, std::nullopt});
        if (spread == Spread::kYes) {
            enqueue_update(record.info.id);
        }
        // A new member is probed at a random place of the round.
        const auto place = random_() % (probe_order_.size() + 1);
        probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(place), record.info.id);
        return;
    }
    Member& member = found->second;
    if (!record.supersedes(member.record)) {
        return;
    }
    const auto before = member.record.state;
    const bool rebooted = member.record.info.boot_id != record.info.boot_id;
    member.record = record;
    member.changed_at = now;
    ++version_;
    if (spread == Spread::kYes) {
        enqueue_update(record.info.id);
    }
    if (before != record.state || rebooted) {
        events_.push_back({record, before});
    }
}

void Swim::learn_about_self(const MemberRecord& record) {
    const bool other_process = record.info.boot_id != self_.info.boot_id;
    const bool accused = record.state != self_.state;
    if (record.incarnation >= self_.incarnation && (other_process || accused)) {
        self_.incarnation = record.incarnation + 1;
        enqueue_update(self_.info.id);
    }
}

void Swim::set_state(TimePoint now, Member& member, MemberState state) {
    const auto before = member.record.state;
    member.record.state = state;
    member.changed_at = now;
    events_.push_back({member.record, before});
    enqueue_update(member.record.info.id);
}

void Swim::enqueue_update(const std::string& id) {
    ++version_;
    std::erase_if(updates_, [&](const Update& update) { return update.id == id; });
    updates_.push_back({id, 0});
}

GossipMessage Swim::make_message(GossipType type, std::uint64_t sequence, const std::string& receiver_id) {
    GossipMessage message;
    message.type = type;
    message.sequence = sequence;
    message.sender = self_;
    message.revisions = revisions_;
    const auto receiver = members_.find(receiver_id);
    if (receiver != members_.end() && receiver->second.record.state != MemberState::kAlive) {
        message.about_receiver.push_back(receiver->second.record);
    }
    message.updates = pick_updates();
    return message;
}

std::vector<MemberRecord> Swim::pick_updates() {
    const auto known = static_cast<unsigned>(members_.size() + 1);
    const unsigned limit = kTransmissionFactor * static_cast<unsigned>(std::bit_width(known));
    std::stable_sort(updates_.begin(), updates_.end(), [](const Update& left, const Update& right) {
        return left.transmissions < right.transmissions;
    });
    std::vector<MemberRecord> picked;
    for (auto& update : updates_) {
        if (picked.size() == kMaxUpdates) {
            break;
        }
        ++update.transmissions;
        const auto found = members_.find(update.id);
        if (found != members_.end()) {
            picked.push_back(found->second.record);
        }
    }
    std::erase_if(updates_, [&](const Update& update) { return update.transmissions >= limit; });
    return picked;
}

std::vector<std::string> Swim::random_members(std::size_t count, const std::string& except) {
    std::vector<std::string> candidates;
    for (const auto& [id, member] : members_) {
        if (id != except && !is_gone(member.record.state)) {
            candidates.push_back(id);
        }
    }
    std::vector<std::string> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), count, random_);
    return picked;
}

std::optional<std::string> Swim::next_target() {
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const std::string id = probe_order_.back();
            probe_order_.pop_back();
            const auto found = members_.find(id);
            if (found != members_.end() && !is_gone(found->second.record.state)) {
                return id;
            }
        }
        for (const auto& [id, member] : members_) {
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
    const auto members = static_cast<unsigned>(members_.size() + 1);
    const unsigned scale = std::max(1U, static_cast<unsigned>(std::bit_width(members)) / 3);
    return config_.period_ms * (config_.suspicion_periods * scale + local_health_);
}

std::vector<MemberRecord> Swim::records() const {
    std::vector<MemberRecord> all{self_};
    for (const auto& [id, member] : members_) {
        all.push_back(member.record);
    }
    return all;
}

const MemberRecord* Swim::find(const std::string& id) const {
    if (id == self_.info.id) {
        return &self_;
    }
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.record;
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

std::vector<MembershipEvent> Swim::take_events() {
    return std::exchange(events_, {});
}

std::optional<MemberInfo> Swim::random_peer() {
    const auto picked = random_members(1, "");
    if (picked.empty()) {
        return std::nullopt;
    }
    return members_.at(picked.front()).record.info;
}

}  // namespace anisehold::membership
