#include "retry/retry_budget.hpp"

#include <algorithm>

namespace anisehold::retry {

void RetryBudget::on_first_attempt(const std::string& row) {
    const auto [entry, added] = tokens_.try_emplace(row, kMostTokens);
    entry->second = std::min(entry->second + kShare, kMostTokens);
}

bool RetryBudget::try_retry(const std::string& row) {
    const auto [entry, added] = tokens_.try_emplace(row, kMostTokens);
    if (entry->second < 1.0) {
        return false;
    }
    entry->second -= 1.0;
    return true;
}

}  // namespace anisehold::retry
