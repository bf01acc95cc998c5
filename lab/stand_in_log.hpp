/// @file
/// Logs the actions of simulated servers and clients on each request, as JSON lines on standard error. Failed
/// tests are traced with these lines and the daemons' logs, which have the same time format.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/http_types.hpp"

namespace anisehold::lab {

/// A named value of a log line.
struct LogField {
    std::string_view name;
    std::string value;
};

/// Writes one line with the time, the step, the request's id and the fields.
void log_step(std::string_view step, std::string_view request_id, std::initializer_list<LogField> fields);

/// Logs the response of a daemon to a call, or the error if there was none.
void log_call_result(std::string_view step, std::string_view request_id, const std::string& kind,
                     const std::optional<net::HttpResponse>& response, std::error_code error);

}  // namespace anisehold::lab
