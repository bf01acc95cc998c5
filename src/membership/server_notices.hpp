/// @file
/// What servers said of themselves in the answers that this daemon got. Their own daemons may have forgotten
/// it: those restart. Owns the latest notice of each start of a server; relies on being told of answers.
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

/// By instance and start. A start that isn't known is taken for the one that is.
class ServerNotices {
  public:
    /// The server answered, and takes this rate; nothing if it named none.
    void on_rate(TimePoint now, const ServerRecord& server, std::optional<RequestRate> rate);
    /// The rate that it named last.
    std::optional<RequestRate> rate_of(const ServerRecord& server) const;
    /// Forgets servers of which nothing was heard for long.
    void expire(TimePoint now);

  private:
    struct Notice {
        std::uint64_t born = 0;  ///< Of the start; 0: unknown.
        std::optional<RequestRate> rate;
        TimePoint heard;
    };

    static bool is_same_start(const Notice& notice, const ServerRecord& server) {
        return notice.born == 0 || server.born == 0 || notice.born == server.born;
    }

    std::map<std::string, Notice> notices_;
};

}  // namespace anisehold::membership
