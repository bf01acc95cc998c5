#include "claims/claim_tally.hpp"

namespace anisehold::claims {

void ClaimTally::on_reply(const ClaimReply& reply) {
    ++answered_;
    if (reply.verdict == ClaimVerdict::kGranted) {
        ++granted_;
    }
    if (reply.verdict == ClaimVerdict::kDenied) {
        ++denied_;
        if (denied_ == 1 || reply.state != ClaimState::kInProgress) {
            standing_ = reply;
        }
    }
}

ClaimResult ClaimTally::result() const {
    const std::size_t needed = majority_of(holders_);
    if (holders_ > 0 && granted_ >= needed) {
        return ClaimResult::kWon;
    }
    const std::size_t outstanding = holders_ - answered_;
    const bool can_still_win = granted_ + outstanding >= needed;
    if (outstanding > 0 && (can_still_win || denied_ == 0)) {
        return ClaimResult::kPending;
    }
    return denied_ > 0 ? ClaimResult::kDuplicate : ClaimResult::kUnavailable;
}

}  // namespace anisehold::claims
