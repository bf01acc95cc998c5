#include "membership/server_notices.hpp"

namespace anisehold::membership {
namespace {

/// Longer than a server goes on after its last answer.
constexpr seconds kRemembered{600};

}  // namespace

void ServerNotices::on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate) {
    if (rate) {
        notices_[server.instance] = {server.born, rate, now};
    } else {
        notices_.erase(server.instance);
    }
}

std::optional<RequestRate> ServerNotices::rate_of(const ServerRecord& server) const {
    const auto found = notices_.find(server.instance);
    return found != notices_.end() && is_same_start(found->second, server) ? found->second.rate
                                                                           : std::nullopt;
}

void ServerNotices::expire(TimePoint now) {
    std::erase_if(notices_, [&](const auto& entry) { return now - entry.second.heard > kRemembered; });
}

}  // namespace anisehold::membership
