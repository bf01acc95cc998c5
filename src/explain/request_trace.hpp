/** What the logs of a fleet say of one request: its own lines, and those that led to its outcome. Relies on
   the names and fields of log lines. Pure.
*/
#pragma once

#include <string>
#include <vector>

#include "explain/log_line.hpp"

namespace anisehold::explain
{

/** Why a line belongs to the story. */
enum class Relevance
{
    own,         /**< It bears the request's id. */
    failedBelow, /**< A call that the server's machine made meanwhile failed: it may be one of this request's.
                  */
    limitInForce, /**< The limit that refused it early. */
    serverChange  /**< One of its servers appeared, left or fell silent shortly before. */
};

/** One line of the story. */
struct TraceStep
{
    Relevance relevance = Relevance::own;
    LogLine line;
};

/** Picks the lines of the story out of those of all processes, in order of time. */
std::vector<TraceStep> traceRequest (const std::vector<LogLine>& lines, const std::string& requestId);

/** The story as text, a line each. Empty if nothing is known of the request. */
std::string describe (const std::vector<TraceStep>&);

} // namespace anisehold::explain
