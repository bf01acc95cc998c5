/** One line of a process's log, read back. Relies on the form of lines of `observability/events.hpp`. */
#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::explain
{

/** A decision as it was logged. */
struct LogLine
{
    std::string time;                          /**< As it stands in the line: UTC, to the millisecond. */
    milliseconds at{ 0 };                      /**< The same, since 1970. */
    std::string member;                        /**< The process. */
    std::string name;                          /**< Of the event. */
    std::map<std::string, std::string> fields; /**< All others. */
};

/** Nothing if the text isn't a line of a sidecar's log. What stands before the first brace is skipped:
   collectors put names and times of their own there. */
std::optional<LogLine> parseLogLine (std::string_view text);

/** Adds the lines of `input` that can belong to the story of a request: its own, failed calls, and changes of
    servers and limits. Logs are large; all other lines are passed over unread. */
void readRelevantLines (std::istream& input, const std::string& requestId, std::vector<LogLine>& lines);

/** A field's value, or an empty text. */
std::string fieldOf (const LogLine&, const std::string& name);

} // namespace anisehold::explain
