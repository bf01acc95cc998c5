/** The form of a moment in log lines. Pure. */
#pragma once

#include <chrono>
#include <string>

namespace anisehold::logging
{

/** The moment in UTC with milliseconds, as in ISO 8601: 2026-01-31T23:59:59.999Z. */
std::string utcText (std::chrono::system_clock::time_point moment);

} // namespace anisehold::logging
