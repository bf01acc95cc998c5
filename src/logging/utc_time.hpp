/** Formats timestamps for log lines. Pure. */
#pragma once

#include <chrono>
#include <string>

namespace anisehold::logging
{

/** The time in UTC with milliseconds in ISO 8601 format: 2026-01-31T23:59:59.999Z. */
std::string utcText (std::chrono::system_clock::time_point moment);

} // namespace anisehold::logging
