#include "sidecar/member_listing.hpp"

#include <utility>

#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {
namespace {

/// Prefix of all keys that the daemons store.
constexpr const char* kOwnPrefix = "anisehold/";

}  // namespace

std::optional<std::vector<store::StoreItem>> list_members(const SidecarContext& context, StoreLink& link,
                                                          CrashExchange& crashes, store::ReadMode mode) {
    std::vector<store::StoreItem> members;
    std::vector<store::StoreItem> verdicts;
    std::string after;
    bool more = true;
    while (more) {
        auto page = link.store().list(kOwnPrefix, after, mode, store_call_deadline());
        if (!link.record_outcome(page.outcome, "list peers") || page.outcome != store::CallOutcome::kDone) {
            return std::nullopt;
        }
        StoreLink::log_unreadable(page.unreadable, "list peers");
        more = page.more && !page.items.empty();
        for (auto& item : page.items) {
            after = item.key;
            if (item.key.starts_with(kMemberPrefix)) {
                members.push_back(std::move(item));
            } else if (item.key.starts_with(kVerdictPrefix)) {
                verdicts.push_back(std::move(item));
            }
        }
    }
    crashes.on_stored(verdicts, context.store.is_appointed());
    return members;
}

}  // namespace anisehold::sidecar
