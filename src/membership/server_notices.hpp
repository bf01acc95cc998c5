/// @file
/// Rate limits and leaving notices that servers reported in responses to this daemon. The servers' own
/// daemons lose this state when they restart. Owns the latest notices of each server start; relies on its
/// user to report responses. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/peer_record.hpp"
#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// Notices by instance and start. An unknown start matches the known start of the instance.
class ServerNotices {
  public:
    /// Records the rate limit in a server's response; empty if the response had none.
    void on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate);
    /// The latest rate limit reported by the server.
    std::optional<RequestRate> rate_of(const ServerRecord& server) const;

    /// Records that the server is leaving, which is final for its start.
    void on_leaving(TimePoint now, const ServerRecord& server);
    /// Whether the server reported that it is leaving. If the notice had no start time, the first start time
    /// queried is stored with it.
    bool is_leaving(const ServerRecord& server);
    /// Whether any server reported that it is leaving.
    bool has_leaving() const { return !leaving_.empty(); }

    /// Removes servers without recent notices.
    void expire(TimePoint now);

  private:
    /// A server start and the time of its latest notice.
    struct Start {
        std::uint64_t start_time = 0;  ///< 0 if unknown.
        TimePoint last_seen;
    };
    struct NamedRate {
        Start start;
        RequestRate rate;
    };

    std::map<std::string, NamedRate> rates_;
    std::map<std::string, Start> leaving_;
};

}  // namespace anisehold::membership
