/** Simulates a service whose servers crash, on a repeated fatal request or spontaneously. Time is
    simulated; the crash ledger, the limits on suspects and the choice of their server are the real ones. */
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::model
{

/** The rules to compare; the defaults are those in force. */
struct ContainmentRules
{
    bool recordsCrashes = true;    /**< Crashes are recorded. */
    bool sendsToOneServer = true;  /**< Suspects go to one server, otherwise to random ones. */
    bool limitsSuspects = true;    /**< Few suspects run at a time, and one alone after two crashes. */
    unsigned crashesToCondemn = 3; /**< Crashes after which a request is condemned; 2 or 3. */
    milliseconds reportDelay{ 2 }; /**< Delay of reports to the other daemons. */
};

/** Conditions of one simulated day. */
struct CrashDay
{
    bool hasFatalRequest = true;
    bool hasOneCaller = true; /**< The fatal request always has the same caller. */
    Duration selfCrashGap{};  /**< Interval of spontaneous crashes of a random server; zero for none. */
    seconds length{ 20 };
    double ratePerS = 150; /**< Rate of ordinary requests. */
    unsigned seed = 1;
};

/** Results of one simulated day. */
struct CrashResult
{
    int numCrashes = 0;       /**< Crashes caused by the fatal request. */
    int numOrdinary = 0;      /**< Ordinary requests. */
    int numFailed = 0;        /**< Ordinary requests that failed, after their client's retry. */
    int numFalseVerdicts = 0; /**< Condemned ordinary requests. */
    Duration maxDuration{};   /**< Maximum duration of an ordinary request that was served. */
};

CrashResult simulateDay (const ContainmentRules&, const CrashDay&);

} // namespace anisehold::model
