#include "membership/server_notices.hpp"

#include <algorithm>

namespace anisehold::membership {
namespace {

/// Retention of notices; longer than a server runs on after its last response.
constexpr seconds kNoticeRetention{600};

}  // namespace

void ServerNotices::on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate) {
    if (rate) {
        rates_[server.instance] = {{server.start_time, now}, *rate};
    } else {
        rates_.erase(server.instance);
    }
}

std::optional<RequestRate> ServerNotices::rate_of(const ServerRecord& server) const {
    const auto found = rates_.find(server.instance);
    if (found == rates_.end()) {
        return std::nullopt;
    }
    const auto start_time = found->second.start.start_time;
    const bool is_same = start_time == 0 || server.start_time == 0 || start_time == server.start_time;
    return is_same ? std::optional(found->second.rate) : std::nullopt;
}

void ServerNotices::on_leaving(TimePoint now, const ServerRecord& server) {
    auto& start = leaving_[server.instance];
    start = {std::max(start.start_time, server.start_time), now};
}

bool ServerNotices::is_leaving(const ServerRecord& server) {
    const auto found = leaving_.find(server.instance);
    if (found == leaving_.end()) {
        return false;
    }
    auto& start_time = found->second.start_time;
    start_time = start_time == 0 ? server.start_time : start_time;
    return server.start_time <= start_time;
}

void ServerNotices::expire(TimePoint now) {
    std::erase_if(rates_,
                  [&](const auto& entry) { return now - entry.second.start.last_seen > kNoticeRetention; });
    std::erase_if(leaving_,
                  [&](const auto& entry) { return now - entry.second.last_seen > kNoticeRetention; });
}

}  // namespace anisehold::membership
