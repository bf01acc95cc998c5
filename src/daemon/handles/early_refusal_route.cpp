#include "daemon/handles/early_refusal_route.hpp"

namespace anisehold::daemon {
namespace {

constexpr milliseconds kRetryAfter{1'000};

}  // namespace

CallResult EarlyRefusalRoute::route(Call& call) {
    const admission::ThrottledRow row{call.route.row.name, call.route.row.priority};
    const bool enabled = context_.has(config::Mechanism::kEarlyRefusal);
    if (enabled && throttle_.refuses(call.received, row, context_.random_unit())) {
        return CallResult::failure(ErrorKind::kOverloaded, kRetryAfter);
    }
    auto result = next_.route(call);
    throttle_.on_result(TimePoint::clock::now(), row, result.overloaded_service);
    return result;
}

}  // namespace anisehold::daemon
