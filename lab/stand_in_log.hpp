/// @file
/// What stand-ins and clients did with each request, as JSON lines on standard error: a failed test is traced
/// from these and from the daemons' logs, which have the same form of time.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/http_types.hpp"

namespace anisehold::lab {

/// A named value of a line.
struct LogField {
    std::string_view name;
    std::string value;
};

/// Writes one line: the time, the step, the request's id and what else is known.
void log_step(std::string_view step, std::string_view request_id, std::initializer_list<LogField> fields);

/// Writes the line of an answer that a caller got from a daemon, or of the error that it got none.
void log_call_result(std::string_view step, std::string_view request_id, const std::string& kind,
                     const std::optional<net::HttpResponse>& response, std::error_code error);

}  // namespace anisehold::lab
