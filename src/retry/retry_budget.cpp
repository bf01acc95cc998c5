#include "retry/retry_budget.hpp"

#include <algorithm>

namespace anisehold::retry {

void RetryBudget::on_first_attempt(const std::string& row) {
    const auto [entry, added] = tokens_.try_emplace(row, kMaxTokens);
    entry->second = std::min(entry->second + kShare, kMaxTokens);
}

bool RetryBudget::try_retry(const std::string& row) {
    const auto [entry, added] = tokens_.try_emplace(row, kMaxTokens);
    if (entry->second < 1.0) {
        return false;
    }
    entry->second -= 1.0;
    return true;
}

}  // namespace anisehold::retry
