/// @file
/// Helpers for the control endpoints of simulated servers: faults are set by POST with a JSON object.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "net/http_types.hpp"

namespace anisehold::lab {

/// Path of the control endpoint of every simulated server.
inline constexpr const char* kControlPath = "/lab/faults";

/// Parses the body as a JSON object and applies it; responds with 200, or with 400 if the body isn't an
/// object.
net::HttpResponse apply_control(const net::HttpRequest& request,
                                const std::function<void(const nlohmann::json&)>& apply);

/// Returns a JSON response.
net::HttpResponse json_answer(unsigned status, const nlohmann::json& object);

}  // namespace anisehold::lab
