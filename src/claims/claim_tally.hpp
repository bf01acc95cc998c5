/// @file
/// The claimant's side: counts the holders' replies. Owns the counts of one claim.
#pragma once

#include <cstddef>

#include "claims/claim_types.hpp"
#include "claims/holder_view.hpp"

namespace anisehold::claims {

enum class ClaimResult {
    kPending,      ///< More replies are needed.
    kWon,          ///< A majority granted the claim: the request may run, once.
    kDuplicate,    ///< Another attempt holds the key, as far as any holder knows.
    kUnavailable,  ///< No majority, and no holder knows of another attempt.
};

/// Tallies one claim over its holders. Pure.
class ClaimTally {
  public:
    explicit ClaimTally(std::size_t holders) : holders_(holders) {}

    void on_reply(const ClaimReply& reply);
    /// Counts a holder that could not be asked or did not reply.
    void on_no_reply() { ++answered_; }

    ClaimResult result() const;
    /// The conflicting claim if the result is `kDuplicate`: the one known to have progressed furthest.
    const ClaimReply& standing() const { return standing_; }

  private:
    std::size_t holders_;
    std::size_t answered_ = 0;
    std::size_t granted_ = 0;
    std::size_t denied_ = 0;
    ClaimReply standing_;
};

}  // namespace anisehold::claims
