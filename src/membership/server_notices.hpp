/// @file
/// What servers said of themselves in the answers that this daemon got. Their own daemons may have forgotten
/// it: those restart. Owns the latest notices of each start of a server; relies on being told of answers.
/// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/peer_record.hpp"
#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// By instance and start. Where a start isn't known, it is taken for the one that is.
class ServerNotices {
  public:
    /// The server answered, and takes this rate; nothing if it named none.
    void on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate);
    /// The rate that it named last.
    std::optional<RequestRate> rate_of(const ServerRecord& server) const;

    /// The server said that it leaves. Final for its start.
    void on_leaving(TimePoint now, const ServerRecord& server);
    /// Whether it said so. If its start wasn't known then, it is remembered as the one that is asked for.
    bool is_leaving(const ServerRecord& server);
    /// Whether any server said so.
    bool has_leaving() const { return !leaving_.empty(); }

    /// Forgets servers of which nothing was heard for long.
    void expire(TimePoint now);

  private:
    /// A start of a server, and when it said something.
    struct Start {
        std::uint64_t start_time = 0;  ///< 0: unknown.
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
