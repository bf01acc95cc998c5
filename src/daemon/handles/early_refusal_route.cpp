#include "daemon/handles/early_refusal_route.hpp"

#include "protocol/retry_after.hpp"

namespace anisehold::daemon {

CallResult EarlyRefusalRoute::route(Call& call) {
    const admission::ThrottledRow row{call.route.row.name, call.route.row.priority};
    const bool enabled = context_.has(config::Mechanism::kEarlyRefusal);
    if (enabled && throttle_.refuses(call.received, row, context_.random_unit())) {
        return CallResult::failure(ErrorKind::kOverloaded, retry_after::kThrottled);
    }
    auto result = next_.route(call);
    throttle_.on_result(TimePoint::clock::now(), row, result.overloaded_service);
    return result;
}

}  // namespace anisehold::daemon
