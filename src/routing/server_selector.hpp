/// @file
/// The choice of a server by what is known of its load, speed, zone and recent failures.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::routing {

/// Two random choices, of which the better one is taken. Keeps own observations of failures, which fade, and
/// the requests that this daemon has under way. Pure.
class ServerSelector {
  public:
    /// Returns a number in [0, 1).
    using Random = std::function<double()>;

    ServerSelector(std::string own_zone, Random random)
        : own_zone_(std::move(own_zone)), random_(std::move(random)) {}

    /// A server out of `servers` that isn't in `tried`; nothing if there is none.
    std::optional<membership::KnownServer> choose(TimePoint now,
                                                  const std::vector<membership::KnownServer>& servers,
                                                  const std::vector<std::string>& tried) const;

    void on_sent(const std::string& instance) { ++under_way_[instance]; }
    /// `failed`: the server gave no whole answer, or none in time.
    void on_ended(TimePoint now, const std::string& instance, bool failed);
    /// Expected cost of a request there, in microseconds; lower is better.
    double cost_of(TimePoint now, const membership::KnownServer& server) const;

  private:
    struct Failures {
        double rate = 0;  ///< Moving share of failures, as of `updated`.
        TimePoint updated;
    };

    double failure_rate(TimePoint now, const std::string& instance) const;

    std::string own_zone_;
    Random random_;
    std::map<std::string, unsigned> under_way_;
    std::map<std::string, Failures> failures_;
};

}  // namespace anisehold::routing
