/// @file
/// Retries as a share of first attempts, in `anisehold serve`; the sidecar has WindowBudget for it.
#pragma once

#include <map>
#include <string>

namespace anisehold::retry {

/// A token bucket per table row: each first attempt adds a share of a token, each retry takes one. Keeps a
/// failing service from being loaded by more than that share, however many requests still have an
/// allowance. Pure.
class RetryBudget {
  public:
    void on_first_attempt(const std::string& row);
    /// Takes a token; false if there is none.
    bool try_retry(const std::string& row);

    /// Tokens per first attempt, and the most that a row saves up. Chosen, not measured.
    static constexpr double kShare = 0.2;
    static constexpr double kMaxTokens = 20.0;

  private:
    std::map<std::string, double> tokens_;
};

}  // namespace anisehold::retry
