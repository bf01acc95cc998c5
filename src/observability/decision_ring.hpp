/// @file
/// The latest decisions of this daemon about calls, for `anisehold explain`. Owns the decisions, in memory
/// only; the oldest are discarded.
#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::observability {

/// Kind of a decision. `decision_step_name` gives the names for logs.
enum class DecisionStep {
    kReceived,
    kAccounted,
    kClaimed,
    kServerChosen,
    kQueued,
    kDispatched,
    kRetried,
    kAnswered,
    kRefused,
};

std::string_view decision_step_name(DecisionStep step);

/// One decision about one call.
struct Decision {
    std::chrono::system_clock::time_point at;
    std::string request_id;  ///< Id of the root request.
    std::string call_id;
    DecisionStep step = DecisionStep::kReceived;
    std::string detail;
};

/// Ring of the latest `kCapacity` decisions.
class DecisionRing {
  public:
    static constexpr std::size_t kCapacity = 20'000;

    void add(const std::string& request_id, const std::string& call_id, DecisionStep step,
             std::string detail);
    /// The recorded decisions about a request, oldest first.
    std::vector<Decision> find(std::string_view request_id) const;

  private:
    std::deque<Decision> decisions_;
};

}  // namespace anisehold::observability
