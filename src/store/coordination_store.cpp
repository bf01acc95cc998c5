#include "store/coordination_store.hpp"

#include <array>

namespace anisehold::store {

std::string_view call_outcome_name(CallOutcome outcome) {
    static constexpr std::array<std::string_view, 6> names{"done",         "not-found", "conflict",
                                                           "history-lost", "refused",   "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

}  // namespace anisehold::store
