/// @file
/// Decides at the gate whether a retry may go to the server, and which retries are granted first.
///
/// Addresses servers that decline a share of their arrivals whatever their load. The retries of the fleet are
/// then the scarce resource. When each caller's daemon spends its own part first come, first served, a short
/// request has 0.2 retries though it needs 1.2, while chains of calls that end unserved use the others.
///
/// All arrivals at a server pass its gate. Each gate stays within its part of the bound on retries at the
/// service: the ratio of the first arrivals at its own server, and an equal share of the extra. All gates
/// together then stay within the bound without a message. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "protocol/time_types.hpp"
#include "retry/window_count.hpp"

namespace anisehold::retry {

/// Bounds of the fleet's retries at the service of the gate.
struct GateBudgetTerms {
    double ratio = 0.2;  ///< Retries per first arrival in each window.
    double extra = 0;    ///< Additional retries in each window, over all servers of the service.
    milliseconds window{10'000};
    /// Share of the bound that the gate uses.
    double share = 0.85;
    /// Share of the ratio's part that may accumulate and be spent at once. A killed gate may have spent this
    /// beyond what its successor can know: 0.85 + 0.02 and what a changing fleet adds stay below 0.92.
    double burst_share = 0.02;
    /// Share of its earnings that a process gets in its first window. Its predecessor may have spent retries
    /// of an earlier window while first arrivals had fallen; if they return with the new process, the bound
    /// counts one of the two windows, not their sum. With all gates killed at that moment up to 1.33 of the
    /// bound was used without this share (tests/incidents/gate_retries_test.cpp).
    double first_window_share = 0.25;
};

/// Order in which retries are granted. The lowest value comes first.
struct RetryRank {
    unsigned priority = 0;  ///< Priority of the root request if known, else of the call; 0 is the highest.
    unsigned made = 0;      ///< Calls that the parent has made before; more are closer to completion.
};

/// A retry counts until it leaves the window, and the first arrivals that the bound counts may fall
/// meanwhile, so a retry is granted only if all windows that will contain it have room for it, whatever
/// arrives later.
///
/// Retries are earned at the rate of the first arrivals that the bound counts: the largest of the present
/// window, the previous one, and the one half a window earlier. So retries remain while the fleet refuses
/// requests early, and first arrivals at the servers fall.
///
/// A gate can't tell a decline of all arrivals from a shift of arrivals to other gates, and during a shift
/// the largest windows of all gates add up to more than the service ever had. Shifts follow changes of the
/// fleet: a killed, restarted, added or unreachable server or daemon. For two windows after such a change,
/// and after the start of the process, a gate earns per arrival instead. In a model of 4 gates with random
/// kills up to 0.93 of the bound was used without this rule, and 0.85 with it. For one window after a loss of
/// servers, a gate earns nothing for the arrivals that it has taken over from them, since a lost gate may
/// have spent retries of an earlier window; in a model of 2 gates up to 0.99 of the bound was used otherwise.
class GateBudget {
  public:
    GateBudget(const GateBudgetTerms& terms, TimePoint started);

    void set_terms(const GateBudgetTerms& terms);
    /// Sets the servers of the service that this daemon knows, including its own. `identity` differs if
    /// another server or daemon has taken the place of one, or has restarted.
    void on_servers(TimePoint now, std::size_t servers, std::uint64_t identity);
    /// Records the first arrival of a request. `inherited` in [0, 1]: probability that the run which makes
    /// the request is itself a retry; such arrivals count as retries and can't be refused.
    void on_first_arrival(TimePoint now, double inherited);
    /// Decides on a retry, and records it if it is granted.
    bool try_retry(TimePoint now, RetryRank rank);

    /// Retries that the gate may grant per second over a longer time.
    double retries_per_second(TimePoint now);

  private:
    /// Retries asked for, decayed exponentially.
    struct Demand {
        double asked = 0;
        TimePoint updated;
    };
    /// Ranks of tenants' requests are 16 times the priority of the tenant and that of the route.
    static constexpr unsigned kPriorities = 64;
    static constexpr unsigned kProgressClasses = 4;

    static std::size_t index_of(RetryRank rank);
    bool counts_earlier_windows(TimePoint now) const { return now - changed_ >= 2 * terms_.window; }
    void earn(TimePoint now);
    double earned_per_arrival(TimePoint now) const;
    double max_savings(TimePoint now);
    double extra_share(TimePoint now) const;
    /// Retries that may be granted now without exceeding this gate's part of the bound in any window that
    /// contains them, up to one window from now. Arrivals that are yet to come are not counted, so that the
    /// bound holds when they fall.
    double headroom(TimePoint now);
    /// Retries to keep for more urgent ranks.
    double reserve_for_urgent(TimePoint now, std::size_t index) const;

    GateBudgetTerms terms_;
    TimePoint started_;
    TimePoint changed_;  ///< Latest change of the service's servers.
    TimePoint earned_;   ///< Time up to which `savings_` includes earnings over time.
    WindowCount arrivals_;
    WindowCount retries_;
    WindowCount of_extra_;              ///< Retries that the extra paid for.
    std::int64_t headroom_slice_ = -1;  ///< Slice for which `headroom_` was computed.
    double headroom_ = 0;
    double savings_ = 0;  ///< Retries earned and not spent; negative after inherited retries.
    std::array<Demand, std::size_t{kPriorities} * kProgressClasses> demands_{};
    std::size_t servers_ = 1;
    std::size_t most_servers_ = 1;
    std::size_t before_loss_ = 1;  ///< Servers before the losses of the last window.
    TimePoint lost_;               ///< Latest loss of a server.
    std::uint64_t identity_ = 0;
};

}  // namespace anisehold::retry
