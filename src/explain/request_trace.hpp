/** Traces one request through the logs of a fleet: its own lines and the lines that explain its outcome.
    Owns no state; relies on the names and fields of log lines. Pure. */
#pragma once

#include <string>
#include <vector>

#include "explain/log_line.hpp"

namespace anisehold::explain
{

/** Why a line belongs to the trace. */
enum class Relevance
{
    own,              /**< The line has the request's id. */
    failedNestedCall, /**< A call that the server's machine made at that time failed; the call may belong to
                         this request. */
    limitInForce,     /**< The limit that rejected the request before any server was tried. */
    serverChange      /**< One of the request's servers appeared, left or became silent shortly before. */
};

/** One line of the trace. */
struct TraceStep
{
    Relevance relevance = Relevance::own;
    LogLine line;
};

/** Selects the lines of the trace from the lines of all processes, in chronological order. */
std::vector<TraceStep> traceRequest (const std::vector<LogLine>& lines, const std::string& requestId);

/** The trace as text, one line per step. Empty if the logs have no lines of the request. */
std::string describe (const std::vector<TraceStep>&);

} // namespace anisehold::explain
