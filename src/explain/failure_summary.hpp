/** Groups the rejected and failed requests in any number of logs by cause, route and second. Owns no
    state; relies on the names and fields of `ingress-call` log lines. Pure, except for reading the logs. */
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

/** Why a request was not served, from the point of view of the daemon that received it. */
enum class FailureCause
{
    refusedEarly,    /**< Rejected by the limit of root requests; no server was tried. */
    rejectedAtGates, /**< Rejected at the gates of all tried servers. */
    noServer,        /**< No server of the service was known. */
    unreachable,     /**< Connections to servers failed. */
    serverFailed,    /**< A server's own response reports a failure. */
    serverDeclined,  /**< Servers declared that they executed nothing. */
    outcomeUnknown,  /**< The request was sent and no complete response arrived. */
    timeUp,          /**< The request's deadline was exceeded. */
    callerLeft,      /**< The caller disconnected. */
    noConfiguration, /**< The daemon had no configuration yet. */
    daemonStopping,  /**< The request would not have been completed before the daemon's planned stop ended. */
    unauthorized,    /**< The request had no key or a key of no tenant. */
    keyUnproven,     /**< The daemon could not verify that the key was in force. */
    quotaExceeded,   /**< The tenant had exhausted its quota. */
    quotaUnknown,    /**< The daemon that counts the tenant's requests did not respond. */
    other            /**< Any other outcome in the log, such as bad input. */
};

/** Stable lower-case name: "refused-early". */
std::string_view nameOf (FailureCause);

/** Key by which failures are grouped. */
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

/** Counts of one group. */
struct FailureCount
{
    std::uint64_t total = 0;
    std::map<std::int64_t, std::uint64_t> bySecond; /**< Seconds since 1970. */
    std::string example;                            /**< Id of a request, for `explain`. */
};

/** Result of reading the logs. */
struct FailureSummary
{
    std::uint64_t served = 0; /**< Log lines of requests with a successful response; the logs contain a
                                 bounded number of them. */
    std::map<FailureGroup, FailureCount> groups;
};

/** Reads a log to its end. Lines of other events and malformed lines are skipped. */
void addLog (FailureSummary&, std::istream&);

/** A table of the groups, most frequent first: count, cause, route, service, first and last second, the
    second with the most failures and its count, example. Seconds count from the first failure overall. */
std::string describe (const FailureSummary&);

} // namespace anisehold::explain
