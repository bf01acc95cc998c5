#include "daemon/holder_members.hpp"

namespace anisehold::daemon {

using claims::Holder;
using membership::MemberState;

std::vector<Holder> as_holders(const std::vector<membership::MemberRecord>& records) {
    std::vector<Holder> holders;
    holders.reserve(records.size());
    for (const auto& record : records) {
        holders.push_back({record.info.id, record.info.boot_id, record.info.zone});
    }
    return holders;
}

std::optional<Endpoint> address_of(const MembershipService& membership, const Holder& holder) {
    const auto* record = membership.find(holder.id);
    if (record == nullptr || record->info.boot_id != holder.boot_id) {
        return std::nullopt;
    }
    return record->info.peer;
}

bool has_ended(const MembershipService& membership, const Holder& holder) {
    const auto* record = membership.find(holder.id);
    return record != nullptr &&
           (record->info.boot_id != holder.boot_id || record->state == MemberState::kLeft);
}

bool has_announced_stop(const MembershipService& membership, const Holder& holder) {
    const auto* record = membership.find(holder.id);
    return record != nullptr && record->info.boot_id == holder.boot_id &&
           (record->state == MemberState::kLeaving || record->state == MemberState::kLeft);
}

}  // namespace anisehold::daemon
