/// @file
/// JSON responses of the admin port.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http_types.hpp"

namespace anisehold::daemon {

inline net::HttpResponse json_response(unsigned status, const nlohmann::ordered_json& object) {
    constexpr int indent = 2;
    using Handler = nlohmann::ordered_json::error_handler_t;
    return net::make_response(status, "application/json",
                              object.dump(indent, ' ', false, Handler::replace) + "\n");
}

}  // namespace anisehold::daemon
