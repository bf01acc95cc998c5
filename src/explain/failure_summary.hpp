/** Groups the refused and failed requests of any number of logs by cause, route and second. Relies on the
   names and fields of the log's `ingress-call` lines. Pure, but for reading the logs.
*/
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "explain/log_line.hpp"

namespace anisehold::explain
{

/** Why a request wasn't served, as the daemon that took it saw it. */
enum class FailureCause
{
    refusedEarly,    /**< The limit of root requests; no server was tried. */
    refusedAtGates,  /**< All servers that were tried refused it at their gates. */
    noServer,        /**< No server of the service was known. */
    unreachable,     /**< Servers could not be connected to. */
    serverFailed,    /**< A server's own answer says that it failed. */
    serverDeclined,  /**< Servers declared that they ran nothing. */
    outcomeUnknown,  /**< It was sent, and no whole answer came. */
    timeUp,          /**< Its time ran out. */
    callerLeft,      /**< Its caller went away. */
    noConfiguration, /**< The daemon had none yet. */
    unauthorized,    /**< No key, or one that no tenant holds. */
    keyUnproven,     /**< The daemon couldn't know whether the key was in force. */
    quotaExceeded,   /**< The tenant had used up its quota. */
    quotaUnknown,    /**< The daemon that counts the tenant's requests didn't answer. */
    other            /**< Named by the outcome in the log: bad input, for one. */
};

/** Stable lower-case name: "refused-early". */
std::string_view nameOf (FailureCause);

/** What is counted together. */
struct FailureGroup
{
    FailureCause cause = FailureCause::other;
    std::string route;
    std::string service;

    bool operator<(const FailureGroup& other) const
    {
        return std::tie (cause, route, service) < std::tie (other.cause, other.route, other.service);
    }
};

/** The requests of one group. */
struct FailureCount
{
    std::uint64_t total = 0;
    std::map<std::int64_t, std::uint64_t> bySecond; /**< Seconds since 1970. */
    std::string example;                            /**< A request's id, for `explain`. */
};

/** All that was read. */
struct FailureSummary
{
    std::uint64_t served =
        0; /**< Lines of requests with a good answer; their number is bounded in the logs. */
    std::map<FailureGroup, FailureCount> groups;
};

/** Reads a log to its end. Lines of other events, and those that are malformed, are passed over. */
void addLog (FailureSummary&, std::istream&);

/** A table, most frequent first: count, cause, route, service, first and last second, the worst second and
   its count, example. Seconds count from the first failure of all. */
std::string describe (const FailureSummary&);

} // namespace anisehold::explain
