/// @file
/// The latest decisions of this daemon about calls, for `anisehold explain`. Owns them in memory only; older
/// ones are dropped.
#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::observability {

/// What was decided. Log names are from `decision_step_name`.
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
    std::string request_id;  ///< The root request's id.
    std::string call_id;
    DecisionStep step = DecisionStep::kReceived;
    std::string detail;
};

/// Keeps the last `kCapacity` decisions.
class DecisionRing {
  public:
    /// Chosen, not measured.
    static constexpr std::size_t kCapacity = 20'000;

    void add(const std::string& request_id, const std::string& call_id, DecisionStep step,
             std::string detail);
    /// All that is kept about a request, oldest first.
    std::vector<Decision> find(std::string_view request_id) const;

  private:
    std::deque<Decision> decisions_;
};

}  // namespace anisehold::observability
