/** A service whose servers crash, under one request that comes again or of themselves, in simulated time,
   with the real ledger of crashes, the real limits of suspects and the real choice of their server. */
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::model
{

/** What is compared. The values here are those in force. */
struct CrashWays
{
    bool remembers = true;         /**< Otherwise nothing is known of earlier crashes. */
    bool sendsToOneServer = true;  /**< A suspect; otherwise to a random one. */
    bool limitsSuspects = true;    /**< A few at a time, alone after two crashes. */
    unsigned toCondemn = 3;        /**< Crashes after which a request is sent to no server; 2 or 3. */
    milliseconds reportDelay{ 2 }; /**< How long a report takes to the other daemons. */
};

/** One day. */
struct CrashDay
{
    bool hasFatalRequest = true;
    bool hasOneCaller = true; /**< The fatal request always comes from the same caller. */
    Duration selfCrashGap{};  /**< A random server crashes of itself so often; zero for never. */
    seconds length{ 20 };
    double ratePerS = 150; /**< Of ordinary requests. */
    unsigned seed = 1;
};

/** What became of it. */
struct CrashResult
{
    int numCrashes = 0;       /**< Under the fatal request. */
    int numOrdinary = 0;      /**< Requests. */
    int numFailed = 0;        /**< Of these, after their client's retry. */
    int numFalseVerdicts = 0; /**< Ordinary requests that were condemned. */
    Duration longest{};       /**< Longest time of an ordinary request that was served. */
};

CrashResult playDay (const CrashWays&, const CrashDay&);

} // namespace anisehold::model
