#include "routing/handles/early_refusal_route.hpp"

namespace anisehold::routing {
namespace {

constexpr milliseconds kRetryAfter{1'000};

}  // namespace

CallResult EarlyRefusalRoute::route(Call& call) {
    const auto& row = call.route.row.name;
    const bool enabled = context_.has(config::Mechanism::kEarlyRefusal);
    if (enabled && throttle_.refuses(call.received, row, context_.random_unit())) {
        return CallResult::failure(ErrorKind::kOverloaded, kRetryAfter);
    }
    auto result = next_.route(call);
    throttle_.on_result(TimePoint::clock::now(), row, result.refused_by_overload);
    return result;
}

}  // namespace anisehold::routing
