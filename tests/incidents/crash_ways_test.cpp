/** Compares ways to contain a request that crashes servers, in simulated time; fatal_request_test.cpp
    describes the failure. Without crash records a simulated day has 19.2 crashes, and 0.643 of the other
    requests fail; with the rules in force 3.0 and 0.0000, as means of 40 days. */
#include <catch2/catch.hpp>
#include <iomanip>
#include <iostream>

#include "tests/incidents/crash_model.hpp"

using namespace anisehold;
using namespace anisehold::model;

namespace
{

constexpr int numDays = 40;

/** Means over all days, and the maximum number of crashes. */
struct Summary
{
    double numCrashes = 0;
    int maxCrashes = 0;
    double failedShare = 0;
    int numFalseVerdicts = 0;
    double meanMaxMs = 0;
};

Summary summaryOf (const ContainmentRules& rules, CrashDay day)
{
    Summary summary;
    int numFailed = 0;
    int numOrdinary = 0;

    for (int n = 1; n <= numDays; ++n)
    {
        day.seed = static_cast<unsigned> (n);
        const auto it = simulateDay (rules, day);
        summary.numCrashes += it.numCrashes;
        summary.maxCrashes = std::max (summary.maxCrashes, it.numCrashes);
        summary.numFalseVerdicts += it.numFalseVerdicts;
        summary.meanMaxMs += static_cast<double> (to_milliseconds (it.maxDuration));
        numFailed += it.numFailed;
        numOrdinary += it.numOrdinary;
    }

    summary.numCrashes /= numDays;
    summary.meanMaxMs /= numDays;
    summary.failedShare = static_cast<double> (numFailed) / numOrdinary;
    return summary;
}

void print (const char* label, const Summary& summary)
{
    std::cout << std::fixed << std::setprecision (4) << "| " << label << " | " << summary.numCrashes
              << " (most " << summary.maxCrashes << ") | " << summary.failedShare << " | "
              << summary.numFalseVerdicts << " | " << std::setprecision (0) << summary.meanMaxMs << " |\n";
}

} // namespace

TEST_CASE ("comparison of ways to contain a fatal request", "[crash-ways]")
{
    const CrashDay fatal;
    CrashDay self;
    self.hasFatalRequest = false;
    self.selfCrashGap = milliseconds (1'500);
    CrashDay both = self;
    both.hasFatalRequest = true;

    CrashDay callers = fatal;
    callers.hasOneCaller = false;

    for (const auto& day : { fatal, self, both, callers })
    {
        ContainmentRules withoutRecords;
        withoutRecords.recordsCrashes = false;
        ContainmentRules spread;
        spread.sendsToOneServer = false;
        ContainmentRules unlimited;
        unlimited.limitsSuspects = false;
        ContainmentRules condemnAfterTwo;
        condemnAfterTwo.crashesToCondemn = 2;
        ContainmentRules slowReports;
        slowReports.reportDelay = milliseconds (200);
        std::cout << (day.hasFatalRequest ? "fatal request" : "none")
                  << (day.hasOneCaller ? "" : ", of several callers")
                  << (day.selfCrashGap > Duration::zero() ? ", servers crash of themselves\n" : "\n");
        print ("nothing is remembered", summaryOf (withoutRecords, day));
        print ("in force", summaryOf ({}, day));
        print ("suspects to any server", summaryOf (spread, day));
        print ("suspects not limited", summaryOf (unlimited, day));
        print ("condemned after two", summaryOf (condemnAfterTwo, day));
        print ("reports take 200 ms", summaryOf (slowReports, day));
    }
}

TEST_CASE ("at most three crashes and no other request condemned, over random days", "[crash-ways]")
{
    CrashDay day;
    const auto fatal = summaryOf ({}, day);
    CHECK (fatal.maxCrashes == 3);
    CHECK (fatal.numFalseVerdicts == 0);
    CHECK (fatal.failedShare < 0.001);
    day.selfCrashGap = milliseconds (1'500);
    CHECK (summaryOf ({}, day).numFalseVerdicts == 0);
    day.hasFatalRequest = false;
    CHECK (summaryOf ({}, day).numFalseVerdicts == 0);
}

TEST_CASE ("a second caller costs one more crash, since the server may treat its request differently",
           "[crash-ways]")
{
    CrashDay day;
    day.hasOneCaller = false;
    const auto summary = summaryOf ({}, day);
    CHECK (summary.maxCrashes <= 4);
    CHECK (summary.numFalseVerdicts == 0);
}
