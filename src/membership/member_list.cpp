#include "membership/member_list.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace anisehold::membership {
namespace {

/// Number of messages that carry an update for each doubling of the fleet size.
constexpr unsigned kTransmissionFactor = 3;

}  // namespace

bool MemberList::learn(TimePoint now, const MemberRecord& record, Spread spread) {
    if (record.info.id == self_.info.id) {
        learn_about_self(record);
        return false;
    }
    const auto found = others_.find(record.info.id);
    if (found == others_.end()) {
        if (is_gone(record.state)) {
            return false;
        }
        others_[record.info.id] = Member{record, now};
        ++version_;
        events_.push_back({record, std::nullopt});
        if (spread == Spread::kYes) {
            enqueue_update(record.info.id);
        }
        return true;
    }
    Member& member = found->second;
    if (!record.supersedes(member.record)) {
        return false;
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
    return false;
}

void MemberList::learn_about_self(const MemberRecord& record) {
    const bool other_process = record.info.boot_id != self_.info.boot_id;
    const bool accused = record.state != self_.state;
    if (record.incarnation >= self_.incarnation && (other_process || accused)) {
        self_.incarnation = record.incarnation + 1;
        enqueue_update(self_.info.id);
    }
}

void MemberList::set_own_state(MemberState state) {
    ++self_.incarnation;
    self_.state = state;
    enqueue_update(self_.info.id);
}

void MemberList::suspect(TimePoint now, const std::string& id) {
    const auto found = others_.find(id);
    if (found == others_.end()) {
        return;
    }
    const auto state = found->second.record.state;
    if (state == MemberState::kAlive || state == MemberState::kLeaving) {
        set_state(now, found->second, MemberState::kSuspect);
    }
}

void MemberList::expire_suspicions(TimePoint now, Duration timeout) {
    for (auto& [id, member] : others_) {
        if (member.record.state == MemberState::kSuspect && now - member.changed_at >= timeout) {
            set_state(now, member, MemberState::kDead);
        }
    }
}

void MemberList::remove_gone(TimePoint now, Duration age) {
    ++version_;
    std::erase_if(others_, [&](const auto& entry) {
        return is_gone(entry.second.record.state) && now - entry.second.changed_at >= age;
    });
}

void MemberList::shift_changes(Duration pause) {
    for (auto& [id, member] : others_) {
        member.changed_at += pause;
    }
}

void MemberList::set_state(TimePoint now, Member& member, MemberState state) {
    const auto before = member.record.state;
    member.record.state = state;
    member.changed_at = now;
    events_.push_back({member.record, before});
    enqueue_update(member.record.info.id);
}

void MemberList::enqueue_update(const std::string& id) {
    ++version_;
    std::erase_if(updates_, [&](const Update& update) { return update.id == id; });
    updates_.push_back({id, 0});
}

std::vector<MemberRecord> MemberList::pick_updates(std::size_t max_count) {
    const auto known = static_cast<unsigned>(others_.size() + 1);
    const unsigned limit = kTransmissionFactor * static_cast<unsigned>(std::bit_width(known));
    std::stable_sort(updates_.begin(), updates_.end(), [](const Update& left, const Update& right) {
        return left.transmissions < right.transmissions;
    });
    std::vector<MemberRecord> picked;
    for (auto& update : updates_) {
        if (picked.size() == max_count) {
            break;
        }
        ++update.transmissions;
        const auto found = others_.find(update.id);
        if (found != others_.end()) {
            picked.push_back(found->second.record);
        }
    }
    std::erase_if(updates_, [&](const Update& update) { return update.transmissions >= limit; });
    return picked;
}

std::vector<std::string> MemberList::present_ids(const std::string& except) const {
    std::vector<std::string> ids;
    for (const auto& [id, member] : others_) {
        if (id != except && !is_gone(member.record.state)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<MemberRecord> MemberList::records() const {
    std::vector<MemberRecord> all{self_};
    for (const auto& [id, member] : others_) {
        all.push_back(member.record);
    }
    return all;
}

const MemberRecord* MemberList::find(const std::string& id) const {
    if (id == self_.info.id) {
        return &self_;
    }
    const auto found = others_.find(id);
    return found == others_.end() ? nullptr : &found->second.record;
}

std::vector<MembershipEvent> MemberList::take_events() {
    return std::exchange(events_, {});
}

}  // namespace anisehold::membership
