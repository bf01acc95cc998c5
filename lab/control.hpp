/// @file
/// Small helpers for the stand-ins' control endpoints: faults are switched by POST with a JSON object.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "net/http_types.hpp"

namespace anisehold::lab {

/// Path of every stand-in's control endpoint.
inline constexpr const char* kControlPath = "/lab/faults";

/// Parses the body as a JSON object and applies it; answers 200, or 400 if it isn't one.
net::HttpResponse apply_control(const net::HttpRequest& request,
                                const std::function<void(const nlohmann::json&)>& apply);

/// A JSON answer.
net::HttpResponse json_answer(unsigned status, const nlohmann::json& object);

}  // namespace anisehold::lab
