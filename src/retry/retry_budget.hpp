/// @file
/// Limits retries to a share of first attempts, in `anisehold serve`. The sidecar uses WindowBudget instead.
#pragma once

#include <map>
#include <string>

namespace anisehold::retry {

/// A token bucket per table row: each first attempt adds a fraction of a token, each retry takes one token.
/// Bounds the extra load on a failing service, however many requests still have a retry allowance. Pure.
class RetryBudget {
  public:
    void on_first_attempt(const std::string& row);
    /// Takes a token; false if none is available.
    bool try_retry(const std::string& row);

    /// Tokens added per first attempt, and the capacity of a row's bucket.
    static constexpr double kShare = 0.2;
    static constexpr double kMaxTokens = 20.0;

  private:
    std::map<std::string, double> tokens_;
};

}  // namespace anisehold::retry
