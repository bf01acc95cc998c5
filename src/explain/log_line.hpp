/** Parses lines of a process's log. Owns no state; relies on the line format of
    `observability/events.hpp`. */
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

/** A parsed log line. */
struct LogLine
{
    std::string time;                          /**< Verbatim from the line: UTC, with milliseconds. */
    milliseconds at{ 0 };                      /**< Parsed time since 1970. */
    std::string member;                        /**< Name of the process. */
    std::string name;                          /**< Name of the event. */
    std::map<std::string, std::string> fields; /**< All other fields. */
};

/** Parses a line; empty if the text is not a line of a sidecar's log. Text before the first brace is
    skipped, because log collectors insert names and times there. */
std::optional<LogLine> parseLogLine (std::string_view text);

/** Adds the lines of `input` that may be relevant to a request: its own lines, failed calls, and changes
    of servers and limits. Logs are large, so all other lines are skipped without parsing. */
void readRelevantLines (std::istream& input, const std::string& requestId, std::vector<LogLine>& lines);

/** A field's value; empty if the field is missing. */
std::string fieldOf (const LogLine&, const std::string& name);

} // namespace anisehold::explain
