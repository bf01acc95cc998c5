#include "membership/server_notices.hpp"

#include <algorithm>

namespace anisehold::membership {
namespace {

/// Longer than a server goes on after its last answer.
constexpr seconds kRemembered{600};

}  // namespace

void ServerNotices::on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate) {
    if (rate) {
        rates_[server.instance] = {{server.born, now}, *rate};
    } else {
        rates_.erase(server.instance);
    }
}

std::optional<RequestRate> ServerNotices::rate_of(const ServerRecord& server) const {
    const auto found = rates_.find(server.instance);
    if (found == rates_.end()) {
        return std::nullopt;
    }
    const auto born = found->second.start.born;
    const bool is_same = born == 0 || server.born == 0 || born == server.born;
    return is_same ? std::optional(found->second.rate) : std::nullopt;
}

void ServerNotices::on_leaving(TimePoint now, const ServerRecord& server) {
    auto& start = leaving_[server.instance];
    start = {std::max(start.born, server.born), now};
}

bool ServerNotices::is_leaving(const ServerRecord& server) {
    const auto found = leaving_.find(server.instance);
    if (found == leaving_.end()) {
        return false;
    }
    auto& born = found->second.born;
    born = born == 0 ? server.born : born;
    return server.born <= born;
}

void ServerNotices::expire(TimePoint now) {
    std::erase_if(rates_, [&](const auto& entry) { return now - entry.second.start.heard > kRemembered; });
    std::erase_if(leaving_, [&](const auto& entry) { return now - entry.second.heard > kRemembered; });
}

}  // namespace anisehold::membership
